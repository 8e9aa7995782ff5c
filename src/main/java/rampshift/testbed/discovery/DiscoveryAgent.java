package rampshift.testbed.discovery;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.UniformRandomProvider;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.testbed.wire.FaultyConnection;
import rampshift.testbed.wire.LoopbackNetwork;
import rampshift.testbed.wire.Message;
import rampshift.testbed.wire.MessageReader;
import rampshift.time.Moment;
import rampshift.time.Span;
import rampshift.toml.Range;

/** Discovery as one dispatcher sees it: the agent on its machine, which is sent changes late. */
public final class DiscoveryAgent {
    private static final Pattern WATCH = Pattern.compile("/v1/endpoints\\?index=(\\d{1,18})&wait=(\\d{1,9})");
    private static final long LONGEST_WAIT_MS = 60_000;

    private final int dispatcher;
    private final XnioIoThread thread;
    private final EventLog ledger;
    private final Range delay;
    private final UniformRandomProvider chance;
    private final ListHistory versions;
    private final AcceptingChannel<StreamConnection> socket;
    private final Set<Talk> talks = new LinkedHashSet<>();
    private Moment lastDue = new Moment(0);
    private Span old = Span.ZERO;
    private boolean restates;
    private boolean silent;

    public DiscoveryAgent(int dispatcher, XnioWorker worker, int port, EventLog ledger, Range delay,
            UniformRandomProvider chance, Collection<WorkerEntry> first) throws IOException {
        this.dispatcher = dispatcher;
        thread = worker.getIoThread(0);
        this.ledger = ledger;
        this.delay = delay;
        this.chance = chance;
        versions = new ListHistory(first);
        ChannelListener<AcceptingChannel<StreamConnection>> accept = this::accept;
        LoopbackNetwork.requireFreePort(port);
        socket = worker.createStreamConnectionServer(LoopbackNetwork.address(port), accept,
                OptionMap.builder()
                        .set(Options.TCP_NODELAY, true).set(Options.REUSE_ADDRESSES, true)
                        .set(Options.BACKLOG, 128).getMap());
        socket.resumeAccepts();
    }

    public int port() {
        return ((InetSocketAddress) socket.getLocalAddress()).getPort();
    }

    /** The whole list in discovery's form. */
    public String list() {
        return json(versions.version(), true, versions.whole());
    }

    /** Something has changed in the world: the agent is sent it after a while, and never out of order. */
    public void changed(Collection<WorkerEntry> entries, boolean late) {
        Moment now = EventClock.now();
        Span wait = late ? delay.at(chance.nextDouble()) : Span.ZERO;
        Moment due = now.plus(wait);
        lastDue = due.before(lastDue) ? lastDue : due;
        List<WorkerEntry> copy = List.copyOf(entries);
        thread.executeAfter(() -> {
            versions.apply(copy, EventClock.now());
            tell();
        }, Math.round(lastDue.since(now).millis()), TimeUnit.MILLISECONDS);
    }

    /** It says nothing at all, or speaks again. */
    public void silent(boolean on) {
        silent = on;
        tell();
    }

    /**
     * It breaks all watches, and tells whoever asks then what the list was so long ago, version by version as
     * they age;
     * ZERO: the same with the truth. A watch that goes on would never hear of it: it asks only for what is
     * newer than
     * what it has.
     */
    public void old(Span ago) {
        old = ago;
        restates = true;
        for (Talk talk : new ArrayList<>(talks)) {
            talk.drop();
        }
    }

    private void tell() {
        for (Talk talk : new ArrayList<>(talks)) {
            talk.look(false);
        }
    }

    private String json(long version, boolean whole, List<WorkerEntry> entries) {
        StringBuilder text = new StringBuilder(64 + entries.size() * 160);
        text.append("{\"rev\":").append(version).append(",\"all\":").append(whole).append(",\"targets\":[");
        for (int i = 0; i < entries.size(); i++) {
            text.append(i == 0 ? "" : ",").append(entries.get(i).json(dispatcher));
        }
        return text.append("]}").toString();
    }

    private void accept(AcceptingChannel<StreamConnection> from) {
        try {
            for (StreamConnection c = from.accept(); c != null; c = from.accept()) {
                new Talk(c);
            }
        } catch (IOException e) {
            // Closed while this was under way.
        }
    }

    private final class Talk implements FaultyConnection.Listener {
        private final FaultyConnection line;
        private final MessageReader reader = new MessageReader(this::asked);
        private boolean waits;
        private boolean restate = restates;
        private long known;
        private XnioExecutor.Key timer;

        Talk(StreamConnection connection) {
            line = new FaultyConnection(connection, thread, this);
            talks.add(this);
            line.start();
        }

        @Override
        public void onBytes(byte[] bytes, int count) {
            try {
                reader.read(bytes, 0, count, EventClock.now());
            } catch (IOException e) {
                drop();
            }
        }

        private void asked(Message message) {
            Matcher watch = WATCH.matcher(message.target());
            waits = true;
            if (watch.matches()) {
                known = Long.parseLong(watch.group(1));
                long wait = Math.min(LONGEST_WAIT_MS, Long.parseLong(watch.group(2)));
                timer = thread.executeAfter(() -> look(true), wait, TimeUnit.MILLISECONDS);
            } else {
                known = -1;
            }
            look(false);
        }

        /** Answers if there is something to say, or the wait is over. */
        void look(boolean over) {
            if (!waits || silent) {
                return;
            }
            long version = old.micros() > 0 ? versions.version(old, EventClock.now()) : versions.version();
            List<WorkerEntry> news = known < 0 || restate ? null
                    : old.micros() > 0 && known > version ? List.of() : versions.since(known, version);
            restate = false;
            if (news != null && news.isEmpty() && !over) {
                return;
            }
            waits = false;
            if (timer != null) {
                timer.remove();
            }
            boolean whole = news == null;
            if (whole) {
                news = old.micros() > 0 ? versions.whole(old, EventClock.now()) : versions.whole();
            }
            String body = json(version, whole, news);
            line.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body);
            told(whole, news);
        }

        private void told(boolean whole, List<WorkerEntry> entries) {
            Moment now = EventClock.now();
            if (whole) {
                ledger.append(now, "told-whole", dispatcher);
            }
            for (WorkerEntry entry : entries) {
                ledger.append(now, "told", dispatcher, entry.uid(),
                        entry.state().name().toLowerCase(java.util.Locale.ROOT));
            }
            if (whole) {
                ledger.append(now, "told-end", dispatcher);
            }
        }

        void drop() {
            line.close();
            over();
        }

        @Override
        public void onClosed(boolean reset) {
            over();
        }

        private void over() {
            talks.remove(this);
            waits = false;
            if (timer != null) {
                timer.remove();
            }
        }
    }

    public void close() {
        IoUtils.safeClose(socket);
        for (Talk talk : new ArrayList<>(talks)) {
            talk.drop();
        }
    }
}
