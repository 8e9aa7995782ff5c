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
import rampshift.leases.LeaseEvent;
import rampshift.leases.LeaseManager;
import rampshift.leases.LeaseRecord;
import rampshift.leases.store.RecordLog;
import rampshift.log.Log;
import rampshift.membership.host.MessageChannel;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Runs the leases on the dispatcher's I/O thread with a timer, a clock and a disk. It owns the acceptor's
 * directory and the event log.
 */
public final class LeaseHost implements MessageChannel.Handler {
    private static final String NONE = "-";
    private static final long MICROS_PER_MILLI = 1000;

    private final LeaseSettings settings;
    private final String name;
    private final BootTimeClock clock = new BootTimeClock();
    private final EventLog eventLog;
    private final RecordLog records;
    private MessageChannel channel;
    private RecordWriter writer;
    private LeaseManager leases;
    private LeaseQueries queries;
    private XnioExecutor.Key timerKey;
    private boolean stopped;

    /**
     * Opens the directory and the event log.
     *
     * @param name name of this dispatcher
     * @throws IOException if one of them cannot be opened
     */
    public LeaseHost(LeaseSettings settings, String name) throws IOException {
        this.settings = settings;
        this.name = name;
        records = settings.directory() == null ? null : new RecordLog(settings.directory());
        eventLog = settings.eventLog() == null ? null : new EventLog(settings.eventLog(), true);
    }

    @Override
    public void onOpen(MessageChannel messages) {
        channel = messages;
        SecureRandom random = new SecureRandom();
        long processId = randomNonZero(random);
        leases = new LeaseManager(new LeaseManager.Settings(name, processId, settings.initialAcceptors(),
                settings.leases(), settings.timings(), processId), new ManagerOutput());
        queries = new LeaseQueries(leases);
        logEvent("began", NONE, 0, String.valueOf(processId));
        if (records == null) {
            leases.start(clock.now());
        } else {
            writer = new RecordWriter(records, channel.thread(),
                    () -> leases.stopAcceptor(clock.now()));
            leases.startWithAcceptor(clock.now(), records.records(), records.recordCount(),
                    randomNonZero(random));
        }
    }

    private static long randomNonZero(SecureRandom random) {
        return random.nextLong() | 1;
    }

    /**
     * Returns how long this dispatcher may act under the lease from now on, by a new reading of the clock; it
     * may not act unless that is positive.
     */
    public Span remaining(String lease) {
        return leases.remaining(lease, clock.now());
    }

    /**
     * Returns the token of each of these leases, or 0 for those under which this dispatcher may not act now.
     */
    public long[] tokens(List<String> names) {
        Moment now = clock.now();
        return names.stream().mapToLong(lease -> tokenAt(lease, now)).toArray();
    }

    private long tokenAt(String lease, Moment now) {
        return leases.remaining(lease, now).longerThan(Span.ZERO) ? leases.token(lease) : 0;
    }

    /** Returns the term of all leases. */
    public Span term() {
        return settings.timings().term();
    }

    /** Returns the fencing token to send with each action; valid only while this dispatcher may act. */
    public long token(String lease) {
        return leases.token(lease);
    }

    /** Returns the last observed note of the lease; empty for none. */
    public String note(String lease) {
        return leases.note(lease);
    }

    /** Writes the note of a lease that this dispatcher holds. */
    public void writeNote(String lease, String note) {
        leases.writeNote(clock.now(), lease, note);
    }

    /** Writes a line to the event log if one is configured. */
    public void logEvent(String word, String lease, long token, String detail) {
        if (eventLog != null && !stopped) {
            eventLog.append(EventClock.now(), "leases", name, word, lease, token,
                    detail.isEmpty() ? NONE : detail.replace(' ', '-'));
        }
    }

    @Override
    public void onMessage(String from, byte[] message) {
        if (!stopped) {
            leases.onMessage(clock.now(), from, message);
        }
    }

    @Override
    public void onReachableMembers(Collection<String> names) {
        leases.setAlive(names);
    }

    @Override
    public String answer(String query) {
        return queries.answer(query, clock.now());
    }

    @Override
    public void onStopping() {
        leases.shutDown(clock.now());
    }

    @Override
    public void onClose() {
        stopped = true;
        if (timerKey != null) {
            timerKey.remove();
        }
        if (writer != null) {
            writer.close();
        }
        if (eventLog != null) {
            IoUtils.safeClose(eventLog);
        }
    }

    /** Sends, stores and reports what the manager requests. */
    private final class ManagerOutput implements LeaseManager.Output {
        @Override
        public void send(String to, byte[] message) {
            channel.send(to, message);
        }

        @Override
        public void persist(String key, byte[] value) {
            writer.write(key, value);
        }

        @Override
        public void sendAfterSync(String to, byte[] message) {
            writer.afterSync(recordCount -> {
                if (!stopped) {
                    leases.onSynced(recordCount);
                    channel.send(to, message);
                }
            });
        }

        @Override
        public void wakeAt(Moment time) {
            if (timerKey != null) {
                timerKey.remove();
            }
            long delayMicros = Math.max(0, time.since(clock.now()).micros() + MICROS_PER_MILLI - 1);
            timerKey = stopped ? null
                    : channel.thread().executeAfter(() -> leases.onTimer(clock.now()),
                            delayMicros / MICROS_PER_MILLI, TimeUnit.MILLISECONDS);
        }

        @Override
        public void changeCompleted(String register, LeaseRecord value, Span elapsed) {
            String holder = value.holder().isEmpty() ? NONE : value.holder();
            logEvent("done", register, value.token(),
                    value.version() + "/" + elapsed.micros() + "/" + holder);
        }

        @Override
        public void emit(LeaseEvent event) {
            String word = event.type().word();
            logEvent(word, event.lease().isEmpty() ? NONE : event.lease(), event.token(), event.detail());
            Log.info("leases", "lease", event.lease(), "event", word, "token", event.token(), "detail",
                    event.detail());
        }
    }
}
