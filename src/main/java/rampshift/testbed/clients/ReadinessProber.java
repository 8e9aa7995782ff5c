package rampshift.testbed.clients;

import java.io.IOException;
import java.util.function.BooleanSupplier;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import rampshift.eventlog.EventClock;
import rampshift.testbed.wire.FaultyConnection;
import rampshift.testbed.wire.Message;
import rampshift.testbed.wire.MessageReader;
import rampshift.time.Span;

/** The front proxy's health checks: probes each failed dispatcher every 200 ms until it is ready again. */
final class ReadinessProber {
    private static final Span PROBE_INTERVAL = Span.ofMillis(200);
    private static final String REQUEST = "GET /ready HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n";
    private static final int OK = 200;

    private final XnioIoThread thread;
    private final ClientDialer dialer;
    private final FrontProxy frontProxy;
    private final BooleanSupplier active;

    /**
     * Creates a prober that does nothing before {@link #probe}.
     *
     * @param thread the I/O thread on which it runs
     * @param dialer opens a connection for each probe
     * @param frontProxy provides the failed dispatchers, and receives those that are ready again
     * @param active whether to continue, evaluated after each round
     */
    ReadinessProber(XnioIoThread thread, ClientDialer dialer, FrontProxy frontProxy, BooleanSupplier active) {
        this.thread = thread;
        this.dialer = dialer;
        this.frontProxy = frontProxy;
        this.active = active;
    }

    /** Starts a round of probes, and further ones while the run is active. Called on the I/O thread. */
    void probe() {
        for (Dispatcher dispatcher : frontProxy.failedDispatchers()) {
            dialer.dial(dispatcher.address(), stream -> new Probe(dispatcher, stream).send(),
                    () -> {
                        // The dispatcher is probed again in the next round.
                    });
        }
        if (active.getAsBoolean()) {
            IoTimers.runAfter(thread, PROBE_INTERVAL, this::probe);
        }
    }

    /** One probe request on a separate connection. */
    private final class Probe implements FaultyConnection.Listener {
        private final Dispatcher dispatcher;
        private final FaultyConnection connection;
        private final MessageReader reader = new MessageReader(this::onResponse);

        Probe(Dispatcher dispatcher, StreamConnection stream) {
            this.dispatcher = dispatcher;
            connection = new FaultyConnection(stream, thread, this);
        }

        void send() {
            connection.write(REQUEST);
            connection.start();
        }

        private void onResponse(Message response) {
            if (response.status() == OK) {
                frontProxy.onReady(dispatcher);
            }
            connection.close();
        }

        @Override
        public void onBytes(byte[] bytes, int count) {
            try {
                reader.read(bytes, 0, count, EventClock.now());
            } catch (IOException e) {
                // An invalid response: the dispatcher is not ready.
            }
        }

        @Override
        public void onClosed(boolean reset) {
            // The dispatcher is not ready; it is probed again in the next round.
        }
    }
}
