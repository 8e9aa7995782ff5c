package rampshift.serve;

import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import org.xnio.XnioIoThread;
import rampshift.clients.ClientLimits;
import rampshift.clients.ClientListener;
import rampshift.connections.Dialer;
import rampshift.connections.MemoryBudget;
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

/** Creates, connects and closes the components between clients and workers. */
final class Dispatcher {
    /** An idle client connection is closed after this many times the longest deadline. */
    private static final double CLIENT_IDLE_DEADLINES = 4;
    private static final Span OVERLOAD_RETRY_AFTER = Span.ofMillis(1000);

    final ClientListener clientListener;
    final TaskRegistry tasks;
    final PolicyHost policyHost;
    final AdmissionControl admission;
    /** The longest timeout of all traffic types. */
    final Span longestDeadline;
    /** Time after a worker starts draining within which the dispatcher must stop sending tasks to it. */
    final Span drainGrace;
    private final ConnectionPool pool;
    private final StallDetector stalls;
    final AdmissionWindow admissionWindow;

    /**
     * Creates the components on one I/O thread. The descriptors that an extension uses reduce their limits.
     */
    Dispatcher(XnioIoThread thread, ByteBufferPool buffers, Dialer dialer, Clock clock, Counters counters,
            Configuration configuration, int extensionDescriptors) throws IOException {
        Settings settings = configuration.settings().read(configuration.seed());
        HostSettings host = configuration.settings().hostSettings();
        ResourceLimits limits = ResourceLimits.of(configuration, host, extensionDescriptors,
                Runtime.getRuntime().maxMemory());
        longestDeadline = settings.types.stream().map(TrafficType::timeout).reduce(Span.ZERO, Span::orLonger);
        drainGrace = settings.drainGrace;
        MemoryBudget responseMemory = new MemoryBudget(limits.responseBytes());
        pool = new ConnectionPool(thread, dialer, clock, host, counters, limits.workerConnections(),
                responseMemory);
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
                        new MemoryBudget(limits.receivingBytes()), responseMemory,
                        longestDeadline.times(CLIENT_IDLE_DEADLINES));
        clientListener = new ClientListener(thread, buffers, clock, counters, clientLimits, decoder,
                new OverloadRejection(admissionWindow, overloadRetryAfter, tasks, counters),
                stalls::maxUnreadTime);
    }

    /** Sets the hook that runs before the first byte of each request to a worker. */
    void setFirstByteHook(Runnable hook) {
        pool.setFirstByteHook(hook);
    }

    /**
     * Rejects all further requests, and closes client connections between requests. Called repeatedly until
     * all are closed.
     */
    void stopAcceptingRequests() {
        admission.close();
        clientListener.drain();
    }

    /** Releases timers, sockets and connections. */
    void close() {
        stalls.close();
        admissionWindow.close();
        clientListener.close();
        pool.close();
        policyHost.close();
    }
}
