package rampshift.membership.host;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import rampshift.discovery.EndpointList;
import rampshift.log.Log;
import rampshift.membership.DrainNotice;
import rampshift.membership.Envelope;
import rampshift.membership.MemberIdentity;
import rampshift.membership.MembershipEvent;
import rampshift.membership.MembershipMetrics;
import rampshift.membership.MembershipMetrics.Counter;
import rampshift.membership.MembershipOptions;
import rampshift.membership.MembershipOutput;
import rampshift.membership.SwimMembership;
import rampshift.serve.ServerExtension;
import rampshift.settings.Configuration;
import rampshift.settings.InvalidInputException;
import rampshift.time.Clock;
import rampshift.time.Moment;

/**
 * Runs the membership of a dispatcher on its I/O thread. Owns the UDP and TCP sockets, which share one
 * address, the timer and the event log.
 */
public final class MembershipTransport implements ServerExtension, MembershipOutput, MessageChannel {
    /** The fraction of the dispatcher's sockets that accepted streams may use. */
    private static final double STREAM_SHARE = 1.0 / 16;
    private static final int MIN_STREAMS = 4;
    /** The number of listening sockets: UDP and TCP. */
    private static final int LISTENING_SOCKETS = 2;
    private static final String NAME_PATTERN = "[!-~]{1,40}";
    private static final String NOT_PRINTABLE = "[^!-~]";
    private static final long MICROS_PER_MILLI = 1000;

    private final MembershipSettings settings;
    private final String name;
    private final String build;
    private final MessageChannel.Handler handler; // null if there is none
    private final MembershipEventLog eventLog;
    private XnioIoThread thread;
    private Clock clock;
    private Configuration configuration;
    private DatagramPort datagrams;
    private StreamPort streams;
    private XnioExecutor.Key wakeTimer;
    private SwimMembership membership;
    private DrainOverrides drainOverrides;
    private boolean closed;

    /**
     * Creates a membership that is not started yet.
     *
     * @param name    the name of this dispatcher
     * @param build   the version of its software
     * @param handler the module that sends its own messages over the UDP socket, or null for none
     * @throws IOException if the event log can't be opened
     */
    public MembershipTransport(MembershipSettings settings, String name, String build,
            MessageChannel.Handler handler)
            throws IOException {
        this.settings = settings;
        this.name = name;
        this.build = build.replaceAll(NOT_PRINTABLE, "");
        this.handler = handler;
        eventLog = new MembershipEventLog(settings.eventLogFile(), name);
    }

    @Override
    public int maxDescriptors(Configuration configuration) {
        return 2 * maxAcceptedStreams(configuration) + LISTENING_SOCKETS;
    }

    private static int maxAcceptedStreams(Configuration configuration) {
        return Math.max(MIN_STREAMS, (int) (configuration.sockets() * STREAM_SHARE));
    }

    @Override
    public void start(XnioWorker worker, XnioIoThread thread, Clock clock, Configuration configuration,
            EndpointListener listener)
            throws IOException {
        this.thread = thread;
        this.clock = clock;
        this.configuration = configuration;
        if (!name.matches(NAME_PATTERN)) {
            throw new InvalidInputException(
                    "name \"" + name + "\" is not 1 to 40 printable ASCII characters without blanks");
        }
        String address = MemberAddresses.format(settings.listen());
        openSockets(worker, address);
        drainOverrides = new DrainOverrides(settings.acceptDrainNotices(), settings.drainNoticeLifetime(),
                listener, name);
        membership = new SwimMembership(options(address), this);
        datagrams.resumeReceives();
        streams.resumeAccepts();
        writeEvent("began", name, membership.self().incarnation(), address);
        membership.start(clock.now());
        if (handler != null) {
            handler.onOpen(this);
            notifyHandler();
        }
    }

    private void openSockets(XnioWorker worker, String address) throws IOException {
        try {
            datagrams = new DatagramPort(worker, settings.listen(), this::onDatagram);
            streams = new StreamPort(worker, thread, settings.listen(), maxAcceptedStreams(configuration),
                    this::onRequest);
        } catch (IOException e) {
            close();
            throw new IOException("members: cannot listen on " + address + " (" + e.getMessage() + ")");
        }
    }

    /**
     * Returns the options. The first incarnation is the current time, so that it exceeds those of earlier
     * processes with this name.
     */
    private MembershipOptions options(String address) {
        long processId = new SecureRandom().nextLong();
        long incarnation = Math.max(1, System.currentTimeMillis());
        MemberIdentity self =
                new MemberIdentity(name, incarnation, processId, address, settings.site(), build,
                        System.currentTimeMillis(), MemberIdentity.Phase.JOINING);
        return new MembershipOptions(settings.fleet(), self, settings.seeds(), settings.addressOverrides(),
                settings.timings(), processId);
    }

    private void notifyHandler() {
        List<String> reachable = new ArrayList<>();
        reachable.add(name);
        membership.others().stream().filter(other -> other.status().isReachable())
                .forEach(other -> reachable.add(other.member().name()));
        handler.onReachableMembers(reachable);
    }

    // ---- Calls from the dispatcher

    @Override
    public EndpointList adjust(EndpointList ownList) {
        Moment now = clock.now();
        return drainOverrides.onOwnList(now, ownList, membership.drainNotices(),
                notice -> membership.announce(now, notice));
    }

    @Override
    public void onDiscoveryChanged() {
        drainOverrides.onDiscoveryChanged();
    }

    @Override
    public void onReady() {
        membership.setPhase(clock.now(), MemberIdentity.Phase.SERVING);
    }

    @Override
    public void onStopping() {
        if (handler != null) {
            handler.onStopping();
        }
        membership.setPhase(clock.now(), MemberIdentity.Phase.STOPPING);
    }

    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (handler != null) {
            handler.onClose();
        }
        if (membership != null) {
            membership.leave(clock.now());
            logCounters(membership.metrics());
        }
        if (wakeTimer != null) {
            wakeTimer.remove();
        }
        IoUtils.safeClose(datagrams);
        IoUtils.safeClose(streams);
        IoUtils.safeClose(eventLog);
    }

    private static void logCounters(MembershipMetrics metrics) {
        Log.info("membership", "sent", metrics.get(Counter.SENT), "bytes", metrics.get(Counter.SENT_BYTES),
                "taken",
                metrics.get(Counter.RECEIVED), "malformed", metrics.get(Counter.MALFORMED), "foreign",
                metrics.get(Counter.FOREIGN), "misdirected", metrics.get(Counter.MISDIRECTED), "no_room",
                metrics.get(Counter.OVER_CAPACITY), "refuted", metrics.get(Counter.REFUTED), "stalls",
                metrics.get(Counter.STALLS));
    }

    // ---- Decisions of the membership protocol

    @Override
    public void sendDatagram(String address, byte[] datagram) {
        datagrams.send(address, datagram);
    }

    @Override
    public void requestSync(String address, byte[] request) {
        streams.request(address, request,
                response -> membership.onSyncResponse(clock.now(), response, response.length));
    }

    @Override
    public void wakeAt(Moment when) {
        if (wakeTimer != null) {
            wakeTimer.remove();
        }
        long delayMicros = when.since(clock.now()).micros();
        long delayMs = Math.max(0, delayMicros + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
        wakeTimer = thread.executeAfter(() -> membership.onWake(clock.now()), delayMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void onEvent(MembershipEvent event) {
        writeEvent(event.kind().label().toLowerCase(Locale.ROOT), event.member(), event.incarnation(),
                event.detail());
        if (handler != null && event.kind() != MembershipEvent.Kind.HEALTH_CHANGED) {
            thread.execute(this::notifyHandler); // deferred until the input that caused the event is handled
        }
        Log.info("membership", "event", event.kind().label(), "name", event.member(), "incarnation",
                event.incarnation(), "detail", event.detail());
    }

    @Override
    public void onDrainNotice(DrainNotice notice) {
        if (drainOverrides.onNotice(clock.now(), notice)) {
            writeEvent("bound", notice.worker(), notice.listVersion(), notice.kind().label());
        }
    }

    private void writeEvent(String event, String subject, long number, String detail) {
        if (!closed) {
            eventLog.write(event, subject, number, detail);
        }
    }

    // ---- Requests of other members and of the command line

    private void onDatagram(String fromAddress, byte[] bytes, int count) {
        if (handler != null && Envelope.isEnvelope(bytes, count)) {
            Envelope.decode(settings.fleet(), bytes, count)
                    .ifPresent(envelope -> handler.onMessage(envelope.from(), envelope.payload()));
        } else {
            membership.onDatagram(clock.now(), fromAddress, bytes, count);
        }
    }

    private byte[] onRequest(byte[] request) {
        boolean isQuery = request.length > 0 && request[0] == '?';
        String answer = isQuery ? answer(new String(request, StandardCharsets.UTF_8)) : null;
        if (answer != null) {
            return answer.getBytes(StandardCharsets.UTF_8);
        }
        return membership.onSyncRequest(clock.now(), request, request.length);
    }

    private String answer(String query) {
        if (query.equals(MembershipQuery.MEMBERS)) {
            return new MembershipReport(settings.fleet(), membership, drainOverrides.count()).text();
        }
        return handler == null ? null : handler.answer(query);
    }

    // ---- Messages of other modules

    @Override
    public void send(String to, byte[] payload) {
        if (to.equals(name)) {
            thread.execute(() -> {
                if (!closed) {
                    handler.onMessage(name, payload);
                }
            });
            return;
        }
        String address = membership.address(to);
        if (address != null && !closed) {
            sendDatagram(address, new Envelope(name, payload).encode(settings.fleet()));
        }
    }

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
}
