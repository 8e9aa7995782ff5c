package rampshift.serve;

import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import org.xnio.XnioIoThread;
import rampshift.clients.ClientLimits;
import rampshift.clients.ClientListener;
import rampshift.connections.Dialer;
import rampshift.counters.Counters;
import rampshift.pipeline.AdmissionControl;
import rampshift.pipeline.AdmissionWindow;
import rampshift.pipeline.AttemptSender;
import rampshift.pipeline.EndpointListUpdater;
import rampshift.pipeline.OverloadRejection;
import rampshift.pipeline.PolicyHost;
import rampshift.pipeline.RequestDecoder;
import rampshift.pipeline.Responder;
import rampshift.pipeline.StallDetector;
import rampshift.pipeline.TaskRegistry;
import rampshift.policy.Settings;
import rampshift.policy.TrafficType;
import rampshift.settings.Configuration;
import rampshift.settings.HostSettings;
import rampshift.time.Clock;
import rampshift.time.Span;
import rampshift.workers.ConnectionPool;

/** One set of the parts between clients and workers: builds them, connects them and gives them back. */
final class Dispatcher {
    /** A client that has been silent for so many times the longest deadline is dropped. */
    private static final double CLIENT_IDLE_DEADLINES = 4;
    private static final Span OVERLOAD_RETRY_AFTER = Span.ofMillis(1000);

    final ClientListener clientListener;
    final TaskRegistry tasks;
    final PolicyHost policyHost;
    final AdmissionControl admission;
    /** The longest deadline of all traffic types. */
    final Span longestDeadline;
    /** How soon after a worker began to drain no task may be sent to it any more. */
    final Span drainGrace;
    private final ConnectionPool pool;
    private final StallDetector stalls;
    final AdmissionWindow admissionWindow;

    /** All parts on one I/O thread, with the descriptors that an extension uses taken off their limits. */
    Dispatcher(XnioIoThread thread, ByteBufferPool buffers, Dialer dialer, Clock clock, Counters counters,
            Configuration configuration, int extensionDescriptors) throws IOException {
        Settings settings = configuration.settings().read(configuration.seed());
        HostSettings host = configuration.settings().hostSettings();
        ResourceLimits limits = ResourceLimits.of(configuration, host, extensionDescriptors);
        longestDeadline = settings.types.stream().map(TrafficType::timeout).reduce(Span.ZERO, Span::orLonger);
        drainGrace = settings.drainGrace;
        pool = new ConnectionPool(thread, dialer, clock, host, counters, limits.workerConnections());
        tasks = new TaskRegistry();
        Responder responder = new Responder(counters);
        AttemptSender sender = new AttemptSender(pool, clock, counters);
        EndpointListUpdater endpoints = new EndpointListUpdater(host, pool);
        policyHost = new PolicyHost(thread, clock, settings, endpoints, tasks, sender, responder);
        admissionWindow = new AdmissionWindow(thread, clock);
        Span overloadRetryAfter = settings.retryAfterHints
                ? OVERLOAD_RETRY_AFTER.orShorter(settings.maxRetryAfter)
                : Span.ZERO;
        admission = new AdmissionControl(limits.inFlightTasks(), limits.inFlightBytes(), overloadRetryAfter,
                admissionWindow, clock, counters, tasks, responder, policyHost);
        stalls = new StallDetector(thread, clock);
        RequestDecoder decoder = new RequestDecoder(settings, host, counters, tasks, admission);
        ClientLimits clientLimits =
                new ClientLimits(limits.clientConnections(), limits.spareClientConnections(),
                        limits.receivingBytes(), longestDeadline.times(CLIENT_IDLE_DEADLINES));
        clientListener = new ClientListener(thread, buffers, clock, counters, clientLimits, decoder,
                new OverloadRejection(admissionWindow, overloadRetryAfter, tasks, counters),
                stalls::maxUnreadTime);
    }

    /** Sets what is called before each first byte to a worker. */
    void beforeFirstByte(Runnable action) {
        pool.beforeFirstByte(action);
    }

    /**
     * Rejects whatever still comes and closes connections between requests; called again until all are
     * closed.
     */
    void closeToRequests() {
        admission.close();
        clientListener.drain();
    }

    /** Gives back timers, sockets and connections. */
    void close() {
        stalls.close();
        admissionWindow.close();
        clientListener.close();
        pool.close();
        policyHost.close();
    }
}
