package rampshift.leases.host;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.leases.Event;
import rampshift.leases.LeaseManager;
import rampshift.leases.store.RecordLog;
import rampshift.log.Log;
import rampshift.membership.host.MessageChannel;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * The timer, clock and disk of the leases, on the dispatcher's one I/O thread. It owns the directory and the
 * ledger.
 */
public final class LeaseHost implements MessageChannel.Handler, LeaseManager.Out {
    private final LeaseSettings setting;
    private final String name;
    private final BootTimeClock clock = new BootTimeClock();
    private final EventLog ledger;
    private final RecordLog records;      // null where it keeps nothing
    private MessageChannel post;
    private RecordWriter disk;
    private LeaseManager leases;
    private XnioExecutor.Key wake;
    private boolean ended;

    /** Throws where its directory can't be used. */
    public LeaseHost(LeaseSettings setting, String name) throws IOException {
        this.setting = setting;
        this.name = name;
        records = setting.directory() == null ? null : new RecordLog(setting.directory());
        ledger = setting.ledger() == null ? null : new EventLog(setting.ledger(), true);
    }

    @Override
    public void begin(MessageChannel post) {
        this.post = post;
        SecureRandom chance = new SecureRandom();
        long life = chance.nextLong() | 1;
        leases = new LeaseManager(
                new LeaseManager.Start(name, life, setting.keepers(), setting.names(), setting.rules(), life),
                this);
        if (records != null) {
            disk = new RecordWriter(records, post.thread()::execute, () -> leases.keepsNoMore(clock.now()));
        }
        write("began", "-", 0, String.valueOf(life));
        leases.start(clock.now(), records == null ? null : records.all(),
                records == null ? 0 : records.position(),
                chance.nextLong() | 1);
    }

    /**
     * How long it may act under that lease from this instant on, by the clock as it is now; not positive: it
     * may not.
     */
    public Span mayAct(String lease) {
        return leases.mayAct(lease, clock.now());
    }

    /**
     * The token of each of these that may be acted under now; of the others 0. One look at the clock for all.
     */
    public long[] tokens(List<String> names) {
        Moment now = clock.now();
        return names.stream()
                .mapToLong(n -> leases.mayAct(n, now).longerThan(Span.ZERO) ? leases.token(n) : 0).toArray();
    }

    public Span term() {
        return setting.rules().term();
    }

    public long token(String lease) {
        return leases.token(lease);
    }

    /** How far the work under it has come, as a majority has it as far as is known here. */
    public String note(String lease) {
        return leases.note(lease);
    }

    public void note(String lease, String text) {
        leases.note(clock.now(), lease, text);
    }

    /** Writes a line to the ledger, if there is one. */
    public void write(String word, String lease, long token, String detail) {
        if (ledger != null && !ended) {
            ledger.line(EventClock.now(), "leases", name, word, lease, token,
                    detail.isEmpty() ? "-" : detail.replace(' ', '-'));
        }
    }

    // ---- what comes in

    @Override
    public void onMessage(String from, byte[] payload) {
        if (!ended) {
            leases.message(clock.now(), from, payload);
        }
    }

    @Override
    public void onReachableMembers(Collection<String> names) {
        leases.there(names);
    }

    @Override
    public String answer(String question) {
        if (!question.matches("\\?leases( give [!-~]+( [!-~]+)?| hold [!-~]+ \\d{1,16}| keepers [!-~]+)?")) {
            return null;
        }
        String[] words = question.substring(1).split(" ");
        Moment now = clock.now();
        if (words.length == 1) {
            return leases.page(now);
        }
        boolean known = true;
        switch (words[1]) {
            case "give" -> known = leases.give(now, words[2], words.length > 3 ? words[3] : "*");
            case "hold" -> known = leases.rest(now, words[2], new Span(Long.parseLong(words[3])));
            default -> {
                String why = leases.keepers(now, List.of(words[2].split(",")));
                return why == null ? "begun; \"rampshift leases\" tells how it stands\n"
                        : "not begun: " + why + "\n";
            }
        }
        return known ? "told; \"rampshift leases\" tells what came of it\n"
                : "there is no lease " + words[2] + "\n";
    }

    @Override
    public void stopping() {
        leases.end(clock.now());
    }

    @Override
    public void end() {
        ended = true;
        if (wake != null) {
            wake.remove();
        }
        if (disk != null) {
            disk.close();
        }
        if (ledger != null) {
            IoUtils.safeClose(ledger);
        }
    }

    // ---- what is decided

    @Override
    public void send(String to, byte[] message) {
        post.send(to, message);
    }

    @Override
    public void put(String key, byte[] record) {
        disk.put(key, record);
    }

    @Override
    public void sendOnceSynced(String to, byte[] message) {
        disk.then(position -> {
            if (!ended) {
                leases.synced(position);
                post.send(to, message);
            }
        });
    }

    @Override
    public void wakeAt(Moment when) {
        if (wake != null) {
            wake.remove();
        }
        wake = ended ? null
                : post.thread().executeAfter(() -> leases.woken(clock.now()),
                        Math.max(0, when.since(clock.now()).micros() + 999) / 1000, TimeUnit.MILLISECONDS);
    }

    @Override
    public void done(String register, long version, long token, String holder, Span took) {
        write("done", register, token,
                version + "/" + took.micros() + "/" + (holder.isEmpty() ? "-" : holder));
    }

    @Override
    public void tell(Event event) {
        write(event.what(), event.lease().isEmpty() ? "-" : event.lease(), event.token(), event.detail());
        Log.info("leases", "lease", event.lease(), "event", event.what(), "token", event.token(), "detail",
                event.detail());
    }
}
