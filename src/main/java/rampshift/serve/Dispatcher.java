package rampshift.serve;

import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import org.xnio.XnioIoThread;
import rampshift.clients.ClientLimits;
import rampshift.clients.ClientListener;
import rampshift.connections.Dialer;
import rampshift.counters.Counters;
import rampshift.pipeline.AdmissionControl;
import rampshift.pipeline.AttemptSender;
import rampshift.pipeline.EndpointListUpdater;
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

/** One set of the parts between clients and workers, and how the limits are shared out among them. */
final class Dispatcher {
    private static final int RESERVED = 64;            // descriptors of the JVM, its files and discovery
    private static final int LEAST = 8;                // that a file of few descriptors still serves with
    private static final double TO_WORKERS = 0.4;      // of the descriptors left
    private static final double SPARE = 0.1;           // of the clients' part: taken in only to be bounced
    private static final double BODIES = 0.08;         // of the memory: what tasks in hand may hold
    private static final double RECEIVING = 0.08;      // of the memory: bodies that are coming in
    private static final double CLIENT_IDLE = 4;       // longest expiries until a silent client is dropped

    final ClientListener clientListener;
    final TaskRegistry tasks;
    final PolicyHost policyHost;
    final Span longestDeadline;
    final Span drainGrace;
    final AdmissionControl admission;
    private final ConnectionPool pool;
    private final StallDetector stalls;

    Dispatcher(XnioIoThread thread, ByteBufferPool buffers, Dialer dialer, Clock clock, Counters counters,
            Configuration configuration, int beside) throws IOException {
        Settings settings = configuration.settings().read(configuration.seed());
        HostSettings platform = configuration.settings().hostSettings();
        int sockets = Math.max(LEAST, configuration.sockets() - RESERVED - beside);
        int toWorkers = (int) (sockets * TO_WORKERS);
        int clients = sockets - toWorkers;
        int spare = (int) (clients * SPARE);
        longestDeadline = settings.types.stream().map(TrafficType::expiry).reduce(Span.ZERO, Span::orLonger);
        drainGrace = settings.drainGrace;
        pool = new ConnectionPool(thread, dialer, clock, platform, counters, toWorkers);
        tasks = new TaskRegistry();
        Responder responder = new Responder(counters);
        policyHost = new PolicyHost(thread, clock, settings, new EndpointListUpdater(platform, pool), tasks,
                new AttemptSender(pool, clock, counters), responder);
        admission = new AdmissionControl(Math.min(platform.mostOpen(), clients - spare),
                (long) (configuration.memoryMb() * BODIES * (1 << 20)), clock, counters, tasks, responder,
                policyHost);
        stalls = new StallDetector(thread, clock);
        ClientLimits limits = new ClientLimits(clients - spare, spare,
                (long) (configuration.memoryMb() * RECEIVING * (1 << 20)),
                longestDeadline.times(CLIENT_IDLE));
        clientListener = new ClientListener(thread, buffers, clock, counters, limits,
                new RequestDecoder(settings, platform, counters, tasks, admission), stalls::maxUnreadTime);
    }

    /** Called before each first byte to a worker. */
    void beforeFirstByte(Runnable look) {
        pool.beforeFirstByte(look);
    }

    /** The stop is near: what still comes is bounced, connections end. */
    void closeToRequests() {
        admission.close();
        clientListener.drain();
    }

    void close() {
        stalls.close();
        clientListener.close();
        pool.close();
        policyHost.close();
    }
}
