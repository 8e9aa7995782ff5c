package rampshift;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import rampshift.serve.DispatcherServer;
import rampshift.settings.Configuration;

/** Dispatchers and endpoint lists for tests with emulated workers, and waiting for conditions. */
public final class TestPeers {
    /** Timeout of waits in tests, far longer than any of them takes. */
    static final int TIMEOUT_MS = 20_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long POLL_MS = 2;
    /** A port on which no process listens. */
    private static final int UNUSED_PORT = 1;
    private static final String SETTINGS = """
            "Zones":["a"],"Kinds":["m"],"Zone":0,"PeersTotal":1,"FamilyInfo":{"TellsStart":true,
            "ReportX0":"free slots"},"WeightSource":"live","Limits":{"Cancel":true,"SecondCopies":false,
            "RetryAfter":true,"MaxRetryAfterMs":2000,"MostAssignments":4,\
            "DialTimeoutMs":500,"ConnIdleMs":1000},
            "TrafficTypes":[\
            {"Name":"look","DueTimeMs":1000,"AimStretch":3,"ExpiryMs":5000,"Effect":"safe"},
            {"Name":"sell","DueTimeMs":1000,"AimStretch":3,"ExpiryMs":5000,"Effect":"unsafe"},
            {"Name":"mark","DueTimeMs":1000,"AimStretch":3,"ExpiryMs":5000,"Effect":"keyed",\
            "DedupScope":"cell","WindowMs":4000},
            {"Name":"flash","DueTimeMs":200,"AimStretch":3,"ExpiryMs":600,"Effect":"unsafe"}]
            """;

    private TestPeers() {}

    /** Waits until a condition holds; fails with its description after the timeout. */
    public static void until(String description, Callable<Boolean> condition) throws Exception {
        long deadlineNanos = System.nanoTime() + TIMEOUT_MS * NANOS_PER_MILLI;
        while (!condition.call()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("never: " + description);
            }
            Thread.sleep(POLL_MS);
        }
    }

    /** Returns an endpoint list in the format of the discovery agent, with REV in place of its version. */
    public static String list(boolean complete, String... entries) {
        return "{\"rev\":REV,\"all\":" + complete + ",\"targets\":[" + String.join(",", entries) + "]}";
    }

    /** Starts a dispatcher and waits until it is ready. */
    public static DispatcherServer node(TestServer discovery, String known, String limits) throws Exception {
        byte[] text = configuration(discovery, known, limits).getBytes(StandardCharsets.UTF_8);
        DispatcherServer server = new DispatcherServer(Configuration.read(text));
        server.awaitReady();
        return server;
    }

    /**
     * Returns a configuration with the traffic types look (idempotent), sell and flash (non-idempotent) and
     * mark (with an idempotency key).
     *
     * @param discovery the discovery agent; null for none
     * @param known the endpoint list to start with
     * @param limits the JSON object of the key limits
     */
    public static String configuration(TestServer discovery, String known, String limits) {
        int discoveryPort = discovery == null ? UNUSED_PORT : discovery.port();
        return "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:" + discoveryPort
                + "\",\"limits\":" + limits + ",\"known\":" + known.replace("REV", "0") + ",\"settings\":{"
                + SETTINGS + "}}";
    }
}
