package rampshift.membership.host;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;
import rampshift.discovery.EndpointList;
import rampshift.eventlog.EventClock;
import rampshift.eventlog.EventLog;
import rampshift.log.Log;
import rampshift.membership.DrainNotice;
import rampshift.membership.Envelope;
import rampshift.membership.Event;
import rampshift.membership.MemberIdentity;
import rampshift.membership.MemberUpdate;
import rampshift.membership.MembershipMetrics;
import rampshift.membership.SwimMembership;
import rampshift.serve.ServerExtension;
import rampshift.settings.Configuration;
import rampshift.settings.InvalidInputException;
import rampshift.time.Clock;
import rampshift.time.Moment;

/**
 * The sockets and the timer of a member, on the dispatcher's one I/O thread: datagrams and streams on one
 * address. It
 * owns both, every stream under way, and the ledger.
 */
public final class MembershipTransport implements ServerExtension, SwimMembership.Out, MessageChannel {
    private static final int DATAGRAM = 2048;
    private static final int AT_ONCE = 64;              // datagrams, then tasks have their turn
    private static final int BACKLOG = 1024;
    // of the descriptors: streams under way; more wait in the backlog
    private static final double STREAMS = 1.0 / 16;
    private static final int LEAST_STREAMS = 4;

    private final MembershipSettings setting;
    private final String name;
    private final String build;
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(DATAGRAM);
    private final byte[] bytes = new byte[DATAGRAM];
    private final SocketAddressBuffer sender = new SocketAddressBuffer();
    private final Set<StreamExchange> streams = new LinkedHashSet<>();
    private XnioIoThread thread;
    private Clock clock;
    private Configuration configuration;
    private EventLog ledger;
    private MulticastMessageChannel datagrams;
    private AcceptingChannel<StreamConnection> accepting;
    private XnioExecutor.Key wake;
    private SwimMembership roll;
    private DrainOverrides bindings;
    private boolean ended;
    private final MessageChannel.Guest guest;     // null for none

    /** Guest: what else goes by the members' address; null for nothing. */
    public MembershipTransport(MembershipSettings setting, String name, String build,
            MessageChannel.Guest guest) throws IOException {
        this.setting = setting;
        this.guest = guest;
        this.name = name;
        this.build = build.replaceAll("[^!-~]", "");
        ledger = setting.ledger() == null ? null : new EventLog(setting.ledger(), true);
    }

    /** Two ways, and the sockets listened on. */
    @Override
    public int maxDescriptors(Configuration configuration) {
        return 2 * streams(configuration) + 2;
    }

    private static int streams(Configuration configuration) {
        return Math.max(LEAST_STREAMS, (int) (configuration.sockets() * STREAMS));
    }

    @Override
    public void start(XnioWorker worker, XnioIoThread thread, Clock clock, Configuration configuration,
            EndpointListener bound)
            throws IOException {
        this.thread = thread;
        this.clock = clock;
        this.configuration = configuration;
        InetSocketAddress listen = setting.listen();
        String at = text(listen);
        if (!name.matches("[!-~]{1,40}")) {
            throw new InvalidInputException(
                    "name \"" + name + "\" is no name that members can go by: 1 to 40 letters, no blanks");
        }
        try {
            datagrams = worker.createUdpServer(listen, c -> {}, OptionMap.EMPTY);
            ChannelListener<AcceptingChannel<StreamConnection>> accept = this::accept;
            accepting = worker.createStreamConnectionServer(listen, accept, OptionMap.builder()
                    .set(Options.TCP_NODELAY, true).set(Options.REUSE_ADDRESSES, true)
                    .set(Options.BACKLOG, BACKLOG)
                    .set(Options.CONNECTION_HIGH_WATER, streams(configuration))
                    .set(Options.CONNECTION_LOW_WATER, streams(configuration) - 1).getMap());
        } catch (IOException e) {
            close();
            throw new IOException("members: " + at + " can't be listened on (" + e.getMessage() + ")");
        }
        bindings = new DrainOverrides(setting.news(), setting.newsFor(), bound, name);
        long life = new SecureRandom().nextLong();
        roll = new SwimMembership(new SwimMembership.Start(setting.fleet(),
                new MemberIdentity(name, Math.max(1, System.currentTimeMillis()), life, at,
                        setting.site(), build, System.currentTimeMillis(), MemberIdentity.Doing.JOINING),
                setting.seeds(), setting.reach(),
                setting.rules(), life), this);
        datagrams.getReadSetter().set(c -> readable());
        datagrams.resumeReads();
        accepting.resumeAccepts();
        write("began", name, roll.self().incarnation(), at);
        roll.start(clock.now());
        if (guest != null) {
            guest.begin(this);
            tellGuest();
        }
    }

    private void tellGuest() {
        List<String> there = new ArrayList<>(List.of(name));
        roll.others().stream().filter(c -> c.belief().compareTo(MemberUpdate.Belief.FAILED) < 0)
                .forEach(c -> there.add(c.card().name()));
        guest.there(there);
    }

    // ---- what the dispatcher tells

    @Override
    public EndpointList adjust(EndpointList own) {
        Moment now = clock.now();
        return bindings.listed(now, own, roll.bulletin(), news -> roll.learnt(now, news));
    }

    @Override
    public void onDiscoveryChanged() {
        bindings.moved();
    }

    @Override
    public void onReady() {
        roll.doing(clock.now(), MemberIdentity.Doing.SERVING);
    }

    @Override
    public void onStopping() {
        if (guest != null) {
            guest.stopping();
        }
        roll.doing(clock.now(), MemberIdentity.Doing.STOPPING);
    }

    @Override
    public void close() {
        if (ended) {
            return;
        }
        ended = true;
        if (guest != null) {
            guest.end();
        }
        if (roll != null) {
            roll.end(clock.now());
            MembershipMetrics c = roll.counts();
            Log.info("members", "sent", c.sent, "bytes", c.sentBytes, "taken", c.taken, "malformed",
                    c.malformed, "foreign",
                    c.foreign, "misdirected", c.misdirected, "no_room", c.noRoom, "refuted", c.refuted,
                    "stalls", c.stalls);
        }
        if (wake != null) {
            wake.remove();
        }
        IoUtils.safeClose(datagrams);
        IoUtils.safeClose(accepting);
        new ArrayList<>(streams).forEach(StreamExchange::close);
        if (ledger != null) {
            IoUtils.safeClose(ledger);
        }
    }

    // ---- what is decided

    @Override
    public void send(String to, byte[] datagram) {
        try {
            datagrams.sendTo(address(to), ByteBuffer.wrap(datagram));
        } catch (IOException e) {
            // As good as lost on the way; the protocol asks again.
        }
    }

    @Override
    public void exchange(String to, byte[] whole) {
        if (streams.size() >= 2 * streams(configuration)) {
            return;     // asked again at the next exchange
        }
        thread.openStreamConnection(address(to), c -> stream(c, whole, answer -> {
            roll.exchanged(clock.now(), answer, answer.length);
            return null;
        }), OptionMap.create(Options.TCP_NODELAY, true));
    }

    @Override
    public void wakeAt(Moment when) {
        if (wake != null) {
            wake.remove();
        }
        wake = thread.executeAfter(() -> roll.woken(clock.now()),
                Math.max(0, when.since(clock.now()).micros() + 999) / 1000, TimeUnit.MILLISECONDS);
    }

    @Override
    public void tell(Event event) {
        write(event.kind().name().toLowerCase(java.util.Locale.ROOT), event.name(), event.incarnation(),
                event.detail());
        if (guest != null && roll != null && event.kind() != Event.Kind.STANDING) {
            thread.execute(this::tellGuest);    // once all that goes with it is known
        }
        Log.info("members", "event", event.kind(), "name", event.name(), "incarnation", event.incarnation(),
                "detail",
                event.detail());
    }

    @Override
    public void heard(DrainNotice news) {
        if (bindings.heard(clock.now(), news)) {
            write("bound", news.worker(), news.version(), news.kind().name());
        }
    }

    // ---- parcels

    @Override
    public XnioIoThread thread() {
        return thread;
    }

    @Override
    public Clock clock() {
        return clock;
    }

    @Override
    public Configuration configuration() {
        return configuration;
    }

    @Override
    public void post(String to, byte[] parcel) {
        if (to.equals(name)) {
            thread.execute(() -> {
                if (!ended) {
                    guest.parcel(name, parcel);
                }
            });
            return;
        }
        String at = roll.address(to);
        if (at != null && !ended) {
            send(at, new Envelope(name, parcel).write(setting.fleet()));
        }
    }

    // ---- sockets

    private void readable() {
        try {
            for (int i = 0; i < AT_ONCE && !ended; i++) {
                buffer.clear();
                sender.clear();
                int count = datagrams.receiveFrom(sender, buffer);
                if (count <= 0) {
                    return;
                }
                buffer.flip().get(bytes, 0, count);
                if (guest != null && Envelope.is(bytes, count)) {
                    Envelope e = Envelope.read(setting.fleet(), bytes, count);
                    if (e != null) {
                        guest.parcel(e.from(), e.parcel());
                    }
                    continue;
                }
                roll.datagram(clock.now(), text(sender.getSourceAddress()), bytes, count);
            }
        } catch (IOException e) {
            // One that could not be read, as where an earlier one of ours was refused.
        }
    }

    private void accept(AcceptingChannel<StreamConnection> from) {
        try {
            for (StreamConnection c = from.accept(); c != null; c = from.accept()) {
                stream(c, null, this::asked);
            }
        } catch (IOException e) {
            // Closed meanwhile, or no descriptors: they wait.
        }
    }

    private byte[] asked(byte[] message) {
        if (new String(message, StandardCharsets.US_ASCII).equals(MembershipQuery.MEMBERS)) {
            return page().getBytes(StandardCharsets.UTF_8);
        }
        String answer = guest == null || message.length == 0 || message[0] != '?' ? null
                : guest.asked(new String(message, StandardCharsets.UTF_8));
        if (answer != null) {
            return answer.getBytes(StandardCharsets.UTF_8);
        }
        return roll.asked(clock.now(), message, message.length);
    }

    private void stream(StreamConnection connection, byte[] first,
            java.util.function.Function<byte[], byte[]> got) {
        if (ended) {
            IoUtils.safeClose(connection);
            return;
        }
        StreamExchange[] frame = new StreamExchange[1];
        frame[0] = new StreamExchange(connection, thread, first, got, () -> streams.remove(frame[0]));
        streams.add(frame[0]);
    }

    private static InetSocketAddress address(String text) {
        return Configuration.address("member", text);   // checked where it came in; nothing is looked up
    }

    private static String text(SocketAddress address) {
        InetSocketAddress a = (InetSocketAddress) address;
        String host = a.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : "[" + host + "]") + ":" + a.getPort();
    }

    // ---- what people and judges read

    private void write(String word, String of, long number, String detail) {
        if (ledger != null && !ended) {
            ledger.line(EventClock.now(), "members", name, word, of, number, detail.replace(' ', '-'));
        }
    }

    private String page() {
        StringBuilder text = new StringBuilder();
        MembershipMetrics c = roll.counts();
        text.append(String.format("fleet %s, this is %s: %s, %d there of %d known, own lateness %d%n",
                setting.fleet(), name,
                roll.standing().name().toLowerCase(java.util.Locale.ROOT), roll.there(),
                roll.others().size() + 1, roll.late()));
        line(text, new MemberUpdate(roll.self(), MemberUpdate.Belief.ALIVE, name, 0));
        roll.others().forEach(o -> line(text, o));
        text.append(String.format(
                "datagrams sent %d (%d bytes), taken %d, malformed %d, foreign %d, misdirected %d, no room %d%n",
                c.sent, c.sentBytes, c.taken, c.malformed, c.foreign, c.misdirected, c.noRoom));
        text.append(String.format(
                "exchanges %d, refuted %d, accused %d, stalls %d, workers bound by news %d%n", c.exchanges,
                c.refuted, c.accused, c.stalls, bindings.held()));
        return text.toString();
    }

    private static void line(StringBuilder text, MemberUpdate claim) {
        MemberIdentity k = claim.card();
        text.append(String.format("  %-16s %-8s %-8s %-22s site %-10s incarnation %d, build %s%n", k.name(),
                claim.belief().name().toLowerCase(java.util.Locale.ROOT),
                k.doing().name().toLowerCase(java.util.Locale.ROOT),
                k.at(), k.site(), k.incarnation(), k.build()));
    }
}
