package rampshift.simulator;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Before the first batch is read, plays some tasks through a drill of its own, which is thrown away: as
 * {@code serve} does
 * before it is ready. The first few thousand tasks otherwise paid for classes that were not loaded and code
 * that was not compiled
 * yet, half of all that a short day with several processes took.
 */
final class SimulatorWarmUp {
    private static final int ROUNDS = 120;
    private static final int TASKS = 6;         // a round
    private static final int WORKERS = 24;
    private static final String ATTACH =
            """
                    {"t":"Attach","Who":"%s","Seed":7,"Setup":{"Zones":["a","b"],"Kinds":["k","l"],"Zone":0,"GranularityMs":2.0,"Tenants":
                    [{"Name":"t","QuotaPerS":9.5}],"FamilyInfo":{"ReportX0":"free slots","TellsStart":%s,"ProgressMs":2000.0},"LoadInfo":{"How":"%s"},
                    "WeightSource":"%s","Costs":{"CrossZone":0.1,"Handshake":%s},"Rules":{"ColdFrom":0.2,"ColdMs":9000.0,"TipMultiple":3.0,
                    "StopSendingWithinMs":500.0,"ExtraFloor":5,"RepeatRatio":0.1,"RatioSpanMs":10000.0},"Limits":{"Cancel":true,"SecondCopies":true,
                    "MayProbe":%s,"RetryAfter":true,"MaxRetryAfterMs":2000.0,"MostAssignments":4,"ConnIdleMs":5000.0},"TrafficTypes":[
                    {"DueTimeMs":300.0,"ExpiryMs":5000.0,"Effect":"safe","Earnings":3.0},
                    {"DueTimeMs":300.0,"ExpiryMs":5000.0,"Effect":"keyed","DedupScope":"zone","WindowMs":4000.0,"AllowedOn":[1]},
                    {"DueTimeMs":300.0,"ExpiryMs":5000.0,"Effect":"unsafe","RunsIn":[0]}]}}"""
                    .replace("\n", "");

    private SimulatorWarmUp() {}

    static void play() throws IOException {
        SimulatorHost drill = new SimulatorHost();
        String[] whos = {"r/0", "r/1", "r/2"};
        reply(drill, 0,
                ATTACH.formatted(whos[0], "false", "inline", "live", "0.0", "true") + ','
                        + list(whos[0], "cached", WORKERS, 0) + ','
                        + ATTACH.formatted(whos[1], "true", "inline", "nominal", "0.1", "false") + ','
                        + list(whos[1], "cached", WORKERS, 0) + ','
                        + ATTACH.formatted(whos[2], "true", "off", "rough", "0.0", "true") + ','
                        + list(whos[2], "cached", WORKERS, 0));
        for (int round = 1; round <= ROUNDS; round++) {
            StringBuilder news = new StringBuilder(list(whos[round % 3], "delta", 6, round));
            for (String who : whos) {
                for (int i = 0; i < TASKS; i++) {
                    long task = round * 10L + i;
                    news.append(",{\"t\":\"Arrival\",\"Who\":\"").append(who).append("\",\"Ref\":")
                            .append(task).append(",\"Object\":\"o")
                            .append(i).append("\",\"ExpectedMs\":").append(40.25 + i)
                            .append(",\"Owner\":0,\"Priority\":").append(i % 3)
                            .append(",\"StateBits\":1,\"Width\":1,\"PatienceLeftMs\":5000.0}");
                    of(news, "Note", who, task - 20, ",\"What\":1");
                    of(news, "Note", who, task - 40, ",\"What\":2,\"Value\":0.5");
                    String end = (i + round) % 9 == 8 ? "E" : (i + round) % 7 == 6 ? "F" : "S";
                    of(news, "Ended", who, task - (i % 2 == 0 ? 40 : 60),
                            ",\"DurationMs\":80.5,\"Disposition\":\"" + end
                                    + "\",\"Terminal\":" + end.equals("S")
                                    + ",\"Load\":{\"x0\":1.5,\"concurrent\":3}");
                }
                news.append(",{\"t\":\"Wakeup\",\"Who\":\"").append(who).append("\",\"Name\":0}");
            }
            reply(drill, round * 20, news.toString());
        }
    }

    private static StringBuilder of(StringBuilder news, String what, String who, long task, String more) {
        return news.append(",{\"t\":\"").append(what).append("\",\"Who\":\"").append(who)
                .append("\",\"Ref\":").append(task)
                .append(",\"Try\":0,\"Worker\":").append(task % WORKERS).append(more).append('}');
    }

    private static String list(String who, String how, int count, int from) {
        StringBuilder list = new StringBuilder("{\"t\":\"Fleet\",\"Who\":\"" + who + "\",\"Serial\":" + from
                + ",\"How\":\"" + how + "\",\"Entries\":[");
        for (int i = 0; i < count; i++) {
            int w = (from + i) % WORKERS;
            list.append(i == 0 ? "" : ",").append("{\"Worker\":").append(w).append(",\"Site\":").append(w % 2)
                    .append(",\"Availability\":\"IN\",\"Pod\":").append(w / 4).append(",\"Nominal\":")
                    .append(1.5 + from % 4)
                    .append(",\"Machine\":").append(w / 2 % 2).append('}');
        }
        return list.append("]}").toString();
    }

    private static void reply(SimulatorHost drill, double ms, String news) throws IOException {
        drill.reply(ByteBuffer.wrap(("{\"SimTimeMs\":" + (1e6 + ms) + ",\"news\":[" + news + "]}")
                .getBytes(StandardCharsets.UTF_8)));
    }
}
