package rampshift.simulator;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Handles generated tasks in a separate host, which is discarded, before the first batch is read, as {@code
 * serve} does before it reports ready. Without this, class loading and interpretation slow down the first
 * few thousand tasks: that took half of the total time of a short simulation with several processes.
 */
final class SimulatorWarmUp {
    private static final int ROUNDS = 120;
    private static final int TASKS_PER_ROUND = 6;
    private static final int WORKERS = 24;
    private static final int RESPONSE_DELAY_TASK_IDS = 20;
    private static final int CHANGED_WORKERS_PER_ROUND = 6;
    private static final double START_MS = 1e6;
    private static final double ROUND_MS = 20;
    private static final String[] INSTANCES = {"r/0", "r/1", "r/2"};
    private static final String ATTACH =
            """
                    {"t":"Attach","Who":"%s","Seed":7,
                    "Setup":{"Zones":["a","b"],"Kinds":["k","l"],"Zone":0,"GranularityMs":2.0,
                    "Tenants":[{"Name":"t","QuotaPerS":9.5}],
                    "FamilyInfo":{"ReportX0":"free slots","TellsStart":%s,"ProgressMs":2000.0},
                    "LoadInfo":{"How":"%s"},
                    "WeightSource":"%s","Costs":{"CrossZone":0.1,"Handshake":%s},
                    "Rules":{"ColdFrom":0.2,"ColdMs":9000.0,"TipMultiple":3.0,"StopSendingWithinMs":500.0,
                    "ExtraFloor":5,"RepeatRatio":0.1,"RatioSpanMs":10000.0},
                    "Limits":{"Cancel":true,"SecondCopies":true,"MayProbe":%s,"RetryAfter":true,
                    "MaxRetryAfterMs":2000.0,"MostAssignments":4,"ConnIdleMs":5000.0},"TrafficTypes":[
                    {"DueTimeMs":300.0,"ExpiryMs":5000.0,"Effect":"safe","Earnings":3.0},
                    {"DueTimeMs":300.0,"ExpiryMs":5000.0,"Effect":"keyed","DedupScope":"zone",
                    "WindowMs":4000.0,
                    "AllowedOn":[1]},
                    {"DueTimeMs":300.0,"ExpiryMs":5000.0,"Effect":"unsafe","RunsIn":[0]}]}}"""
                    .replace("\n", "");

    private SimulatorWarmUp() {}

    /** Runs the warm-up; the code that handles a batch is then loaded and mostly compiled. */
    static void run() throws IOException {
        SimulatorHost host = new SimulatorHost();
        reply(host, 0, String.join(",", attach(INSTANCES[0], false, "inline", "live", 0.0, true),
                attach(INSTANCES[1], true, "inline", "nominal", 0.1, false),
                attach(INSTANCES[2], true, "off", "rough", 0.0, true)));
        for (int round = 1; round <= ROUNDS; round++) {
            StringBuilder events = new StringBuilder(
                    endpointList(INSTANCES[round % INSTANCES.length], "delta", CHANGED_WORKERS_PER_ROUND,
                            round));
            for (String instance : INSTANCES) {
                for (int i = 0; i < TASKS_PER_ROUND; i++) {
                    appendTaskEvents(events, instance, round, i);
                }
                events.append(",{\"t\":\"Wakeup\",\"Who\":\"").append(instance).append("\",\"Name\":0}");
            }
            reply(host, round * ROUND_MS, events.toString());
        }
    }

    /** Returns the events that start an instance and send its first endpoint list. */
    private static String attach(String instance, boolean reportsStart, String loadReports,
            String weightSource,
            double handshakeCost, boolean mayProbe) {
        return ATTACH.formatted(instance, reportsStart, loadReports, weightSource, handshakeCost, mayProbe)
                + ','
                + endpointList(instance, "cached", WORKERS, 0);
    }

    /** Appends the arrival of a task, and the events of workers for tasks of earlier rounds. */
    private static void appendTaskEvents(StringBuilder events, String instance, int round, int index) {
        long task = round * 10L + index;
        events.append(",{\"t\":\"Arrival\",\"Who\":\"").append(instance).append("\",\"Ref\":").append(task)
                .append(",\"Object\":\"o").append(index).append("\",\"ExpectedMs\":").append(40.25 + index)
                .append(",\"Owner\":0,\"Priority\":").append(index % 3)
                .append(",\"StateBits\":1,\"Width\":1,\"PatienceLeftMs\":5000.0}");
        appendAttemptEvent(events, "Note", instance, task - RESPONSE_DELAY_TASK_IDS, ",\"What\":1");
        appendAttemptEvent(events, "Note", instance, task - 2 * RESPONSE_DELAY_TASK_IDS,
                ",\"What\":2,\"Value\":0.5");
        String outcome = outcome(round, index);
        int age = (index % 2 == 0 ? 2 : 3) * RESPONSE_DELAY_TASK_IDS;
        appendAttemptEvent(events, "Ended", instance, task - age,
                ",\"DurationMs\":80.5,\"Disposition\":\"" + outcome + "\",\"Terminal\":" + outcome.equals("S")
                        + ",\"Load\":{\"x0\":1.5,\"concurrent\":3}");
    }

    /** Returns the code for success mostly, and at times that for an error or a full worker. */
    private static String outcome(int round, int index) {
        if ((index + round) % 9 == 8) {
            return "E";
        }
        return (index + round) % 7 == 6 ? "F" : "S";
    }

    private static void appendAttemptEvent(StringBuilder events, String type, String instance, long task,
            String extraFields) {
        events.append(",{\"t\":\"").append(type).append("\",\"Who\":\"").append(instance)
                .append("\",\"Ref\":")
                .append(task).append(",\"Try\":0,\"Worker\":").append(task % WORKERS).append(extraFields)
                .append('}');
    }

    private static String endpointList(String instance, String listKind, int count, int firstWorker) {
        StringBuilder list = new StringBuilder("{\"t\":\"Fleet\",\"Who\":\"").append(instance)
                .append("\",\"Serial\":").append(firstWorker).append(",\"How\":\"").append(listKind)
                .append("\",\"Entries\":[");
        for (int i = 0; i < count; i++) {
            int worker = (firstWorker + i) % WORKERS;
            list.append(i == 0 ? "" : ",").append("{\"Worker\":").append(worker).append(",\"Site\":")
                    .append(worker % 2).append(",\"Availability\":\"IN\",\"Pod\":").append(worker / 4)
                    .append(",\"Nominal\":").append(1.5 + firstWorker % 4).append(",\"Machine\":")
                    .append(worker / 2 % 2)
                    .append('}');
        }
        return list.append("]}").toString();
    }

    private static void reply(SimulatorHost host, double millis, String events) throws IOException {
        String batch = "{\"SimTimeMs\":" + (START_MS + millis) + ",\"news\":[" + events + "]}";
        host.reply(ByteBuffer.wrap(batch.getBytes(StandardCharsets.UTF_8)));
    }
}
