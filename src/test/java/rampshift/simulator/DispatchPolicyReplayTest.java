package rampshift.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against unintended changes of the policy's decisions: the replies to a fixed input must equal, byte
 * for byte, those of commit 0f49a4a, whose hashes are below. A refactoring must keep the hashes; an intended
 * change of decisions updates them.
 */
class DispatchPolicyReplayTest {
    private static final int DISPATCHERS = 3;
    private static final int WORKERS = 24;
    private static final int SLOTS = 3;
    private static final double TICK_MS = 2;
    private static final double DAY_MS = 12_000;
    private static final double PROGRESS_MS = 400;

    /** A deployment, with the settings in which it differs from the others. */
    private enum Deployment {
        REPORTS_WITH_ANSWERS("""
                "LoadInfo":{"How":"inline"},"WeightSource":"nominal","EarningsBy":"work","ExcessEarnings":0.2,
                "FamilyInfo":{"ReportX0":"free slots","TellsStart":true,"ProgressMs":400.0},
                "Costs":{"CrossZone":0.05,"Waste":0.03,"Handshake":0.03},
                "Limits":{"Cancel":true,"SecondCopies":true,"MayProbe":false,"RetryAfter":true,
                "MaxRetryAfterMs":2000.0,"MostAssignments":4,"ConnIdleMs":3000.0}
                """, true), REPORTS_TO_PROBES("""
                "LoadInfo":{"How":"on_probe"},"WeightSource":"nominal","Discovery":"on_request",
                "FamilyInfo":{"ReportX0":"free slots","TellsStart":true,"ProgressMs":400.0},
                "Goal":{"Whole":0.5,"WorstClass":0.3,"KeptPromises":0.2,"BorneMisses":0.02},
                "Costs":{"CrossZone":0.02,"Waste":0.2},
                "Limits":{"Cancel":false,"SecondCopies":true,"MayProbe":true,"RetryAfter":true,
                "MaxRetryAfterMs":2000.0,"MostAssignments":3,"ConnIdleMs":3000.0}
                """, true), NO_REPORTS("""
                "LoadInfo":{"How":"off"},"WeightSource":"nominal","Discovery":"on_request",
                "FamilyInfo":{"TellsStart":true,"ProgressMs":400.0},
                "Costs":{"CrossZone":0.02,"Waste":0.05},
                "Limits":{"Cancel":true,"SecondCopies":true,"MayProbe":true,"RetryAfter":false,
                "MostAssignments":5,"ConnIdleMs":3000.0}
                """, false), LIVE_WEIGHTS("""
                "LoadInfo":{"How":"inline"},"WeightSource":"live",
                "FamilyInfo":{"ReportX0":"free slots","ReportX1":"free memory","TellsStart":false,
                "ProgressMs":400.0},
                "Costs":{"CrossZone":0.1,"Handshake":0.05},
                "Limits":{"Cancel":true,"SecondCopies":true,"MayProbe":true,"RetryAfter":true,
                "MaxRetryAfterMs":2000.0,"MostAssignments":4,"ConnIdleMs":3000.0}
                """, true);

        final String settings;
        final boolean reportsLoad;

        Deployment(String settings, boolean reportsLoad) {
            this.settings = settings.replace("\n", "");
            this.reportsLoad = reportsLoad;
        }

        String attach(String dispatcher, int zone, long seed) {
            String budget =
                    this == REPORTS_TO_PROBES ? ",\"ExtraFloor\":2,\"RepeatRatio\":0.1,\"RatioSpanMs\":5000.0"
                            : "";
            boolean onlyDraining = this == NO_REPORTS;
            return "{\"t\":\"Attach\",\"Who\":\"" + dispatcher + "\",\"Seed\":" + seed
                    + ",\"Setup\":{\"Zones\":[\"a\",\"b\"],"
                    + "\"Kinds\":[\"k\",\"l\"],\"Zone\":" + zone + ",\"GranularityMs\":" + TICK_MS
                    + ",\"Tenants\":["
                    + "{\"Name\":\"t\",\"QuotaPerS\":90.0},{\"Name\":\"u\",\"QuotaPerS\":10.0}],"
                    + "\"Rules\":{\"ColdFrom\":0.2,\"ColdMs\":4000.0,\"TipMultiple\":3.0,"
                    + "\"StopSendingWithinMs\":250.0,"
                    + "\"AskWithinMs\":2000.0,\"OnlyDrainingBinds\":" + onlyDraining + budget
                    + "},\"TrafficTypes\":["
                    + type("safe", "", 1, 0.3) + ',' + type("keyed", ",\"DedupScope\":\"cell\"", 5, 0) + ','
                    + type("unsafe", "", 2, 0) + ',' + type("keyed", ",\"DedupScope\":\"all\"", 3, 0.2) + ','
                    + type("safe", ",\"AllowedOn\":[1],\"RunsIn\":[0]", 8, 0) + "]," + settings + "}}";
        }

        private static String type(String effect, String more, double earnings, double late) {
            return "{\"DueTimeMs\":120.0,\"ExpiryMs\":3000.0,\"AimStretch\":2.0,\"WindowMs\":1500.0,"
                    + "\"Effect\":\""
                    + effect
                    + "\",\"Earnings\":" + earnings + ",\"TardyEarnings\":" + late + more + '}';
        }
    }

    private record Event(double at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** One attempt of a task, as the simulated workers see it. */
    private static final class Sending {
        final String dispatcher;
        final long task;
        final int number;
        final int worker;
        boolean over;

        Sending(String dispatcher, long task, int number, int worker) {
            this.dispatcher = dispatcher;
            this.task = task;
            this.number = number;
            this.worker = worker;
        }
    }

    /** Dispatchers under the policy, and a small fleet with all the events that the policy handles. */
    private static final class Day {
        private final Deployment deployment;
        private final Random random;
        private final SimulatorHost host = new SimulatorHost();
        private final MessageDigest digest;
        private final PriorityQueue<Event> events = new PriorityQueue<>();
        private final List<String> news = new ArrayList<>();
        private final Map<String, List<Sending>> sendings = new HashMap<>();
        private final Map<String, Integer> commands = new HashMap<>();
        private final double[][] busyUntil = new double[WORKERS][SLOTS];
        private final double[] speed = new double[WORKERS];
        private final String[] states = new String[WORKERS];
        private final double[] startedAt = new double[WORKERS];
        private double now = 1_000_000;
        private long order;
        private long tasks;

        Day(Deployment deployment, long seed) throws NoSuchAlgorithmException {
            this.deployment = deployment;
            random = new Random(seed);
            digest = MessageDigest.getInstance("SHA-256");
            for (int w = 0; w < WORKERS; w++) {
                speed[w] = 0.5 + 1.5 * random.nextDouble();
                states[w] = "IN";
            }
        }

        private void after(double delayMs, Runnable action) {
            events.add(new Event(now + delayMs, order++, action));
        }

        String play() throws IOException {
            for (int d = 0; d < DISPATCHERS; d++) {
                start("d/" + d, d % 2, d);
            }
            arrive();
            change();
            double end = now + DAY_MS;
            while (now < end) {
                now = Math.max(now + TICK_MS, events.peek().at);
                while (!events.isEmpty() && events.peek().at <= now) {
                    events.poll().action.run();
                }
                byte[] reply = host.reply(ByteBuffer.wrap(("{\"SimTimeMs\":" + now + ",\"news\":["
                        + String.join(",", news) + "]}").getBytes(StandardCharsets.UTF_8)));
                news.clear();
                digest.update(reply);
                carryOut(new String(reply, StandardCharsets.UTF_8));
            }
            return HexFormat.of().formatHex(digest.digest()).substring(0, 16);
        }

        private void start(String dispatcher, int zone, long seed) {
            news.add(deployment.attach(dispatcher, zone, seed));
            tellList(dispatcher, "cached", 0, WORKERS);
        }

        /** Adds a task and schedules the next. The load varies, as do timeouts; some clients disconnect. */
        private void arrive() {
            double wave = (now / 5000) % 2 < 1.4 ? 1 : 2.2;
            String dispatcher = "d/" + (random.nextInt(4) == 0 ? random.nextInt(DISPATCHERS) : 0);
            long id = ++tasks;
            int type = random.nextInt(5);
            double patience = random.nextInt(8) == 0 ? 200 + 800 * random.nextDouble() : 3000;
            news.add("{\"t\":\"Arrival\",\"Who\":\"" + dispatcher + "\",\"Ref\":" + id + ",\"ExpectedMs\":"
                    + (20 + random.nextInt(200)) + ",\"Owner\":" + random.nextInt(2) + ",\"Priority\":" + type
                    + ",\"StateBits\":" + random.nextInt(2) + ",\"Width\":" + (1 + random.nextInt(2))
                    + ",\"RamUnits\":"
                    + random.nextInt(3) + ",\"PatienceLeftMs\":" + patience + '}');
            if (random.nextInt(40) == 0) {
                after(50 + random.nextInt(400), () -> tell("Hangup", dispatcher, id, ""));
            }
            after(-Math.log(1 - random.nextDouble()) * 9 / wave, this::arrive);
        }

        /** Changes the state of a worker and sends lists; lists may fail and a dispatcher may restart. */
        private void change() {
            int worker = random.nextInt(WORKERS);
            states[worker] = switch (states[worker]) {
                case "IN" -> random.nextBoolean() ? "LAME" : "OUT";
                case "LAME" -> random.nextBoolean() ? "OUT" : "IN";
                default -> "IN";
            };
            startedAt[worker] = states[worker].equals("IN") ? now : startedAt[worker];
            int kind = random.nextInt(12);
            for (int d = 0; d < DISPATCHERS; d++) {
                String dispatcher = "d/" + d;
                if (kind == 0) {
                    tellList(dispatcher, "failed", 0, 0);
                } else if (kind < 3) {
                    tellList(dispatcher, "full", 0, WORKERS);
                } else {
                    tellList(dispatcher, "delta", worker, worker + 1);
                }
            }
            if (kind == 11) {
                String last = "d/" + (DISPATCHERS - 1);
                news.add("{\"t\":\"Retire\",\"Who\":\"" + last + "\"}");
                sendings.keySet().removeIf(key -> key.startsWith(last + ' '));
                start(last, 1, tasks);
            }
            after(100 + random.nextInt(500), this::change);
        }

        private void tellList(String dispatcher, String how, int from, int to) {
            StringBuilder entries = new StringBuilder();
            for (int w = from; w < to; w++) {
                boolean live = deployment == Deployment.LIVE_WEIGHTS;
                double weight = live ? 4.0 / (1 + busySlots(w)) : 2 + w % 4;
                entries.append(w == from ? "" : ",").append("{\"Worker\":").append(w).append(",\"Site\":")
                        .append(w % 2)
                        .append(",\"Availability\":\"").append(states[w]).append("\",\"Pod\":").append(w / 4)
                        .append(",\"Nominal\":").append(weight).append(",\"Machine\":").append(w / 3 % 2)
                        .append(",\"BornMs\":").append(startedAt[w]).append('}');
            }
            news.add("{\"t\":\"Fleet\",\"Who\":\"" + dispatcher + "\",\"Serial\":1,\"How\":\"" + how
                    + "\",\"Entries\":["
                    + entries + "]}");
        }

        private int busySlots(int worker) {
            int busy = 0;
            for (double until : busyUntil[worker]) {
                busy += until > now ? 1 : 0;
            }
            return busy;
        }

        private String load(int worker) {
            // Some workers report that they are idle whatever their load, during a part of the simulation.
            boolean lies = worker % 7 == 3 && (now / 4000) % 3 < 1;
            int busy = lies ? 0 : busySlots(worker);
            return ",\"Load\":{\"x0\":" + (SLOTS - busy) + ".0,\"x1\":" + (4 - busy) + ".0,\"concurrent\":"
                    + busy + '}';
        }

        private void tell(String what, String dispatcher, long task, String more) {
            news.add("{\"t\":\"" + what + "\",\"Who\":\"" + dispatcher + "\",\"Ref\":" + task + more + '}');
        }

        private void carryOut(String reply) {
            Matcher command =
                    Pattern.compile("\\{\"t\":\"(\\w+)\",\"Who\":\"([^\"]+)\"([^}]*)}").matcher(reply);
            while (command.find()) {
                String dispatcher = command.group(2);
                String fields = command.group(3);
                commands.merge(command.group(1), 1, Integer::sum);
                switch (command.group(1)) {
                    case "Place" -> place(dispatcher, field(fields, "Ref"), (int) field(fields, "Worker"));
                    case "StopAttempt" ->
                        stop(sendings(dispatcher, field(fields, "Ref")).get((int) field(fields, "Try")));
                    case "HealthCheck" -> probe(dispatcher, (int) field(fields, "Worker"));
                    case "NotifyMe" -> after(Math.max(0, field(fields, "TimeMs") - now),
                            () -> news.add("{\"t\":\"Wakeup\",\"Who\":\"" + dispatcher + "\",\"Name\":0}"));
                    case "Observe" -> after(20, () -> tellList(dispatcher, "full", 0, WORKERS));
                    case "OverloadReply", "Error" -> {
                    }
                    default -> throw new IllegalStateException(reply);
                }
            }
        }

        private static long field(String fields, String name) {
            Matcher value = Pattern.compile("\"" + name + "\":(\\d+)").matcher(fields);
            return value.find() ? Long.parseLong(value.group(1)) : -1;
        }

        private List<Sending> sendings(String dispatcher, long task) {
            return sendings.computeIfAbsent(dispatcher + ' ' + task, key -> new ArrayList<>());
        }

        private void place(String dispatcher, long task, int worker) {
            List<Sending> all = sendings(dispatcher, task);
            Sending sending = new Sending(dispatcher, task, all.size(), worker);
            all.add(sending);
            boolean ill = (worker * 1300 + now) % 9000 < 1500;
            int luck = random.nextInt(100);
            if (ill && luck < 70) {
                String[] outcomes = {"E", "C", "R", "T", "F", "N", ""};
                String outcome = outcomes[random.nextInt(outcomes.length)];
                if (!outcome.isEmpty()) {
                    after(1 + random.nextInt(60), () -> end(sending, outcome));
                }
                return;
            }
            if (luck < 2) {
                after(15, () -> end(sending, "E"));
                return;
            }
            int slot = 0;
            for (int i = 1; i < SLOTS; i++) {
                slot = busyUntil[worker][i] < busyUntil[worker][slot] ? i : slot;
            }
            double start = Math.max(now + 1, busyUntil[worker][slot]);
            if (start > now + 400) {
                after(2, () -> end(sending, "F"));
                return;
            }
            double run = (20 + random.nextInt(160)) / speed[worker];
            busyUntil[worker][slot] = start + run;
            after(start - now, () -> started(sending, run));
        }

        private void started(Sending sending, double run) {
            if (sending.over) {
                return;
            }
            if (deployment != Deployment.LIVE_WEIGHTS) {
                note(sending, ",\"What\":1");
            }
            for (double at = PROGRESS_MS; at < run; at += PROGRESS_MS) {
                double share = at / run;
                after(at, () -> note(sending, ",\"What\":2,\"Value\":" + share));
            }
            after(run, () -> end(sending, "S"));
        }

        private void note(Sending sending, String more) {
            if (!sending.over) {
                tell("Note", sending.dispatcher, sending.task,
                        ",\"Try\":" + sending.number + ",\"Worker\":" + sending.worker + more);
            }
        }

        private void end(Sending sending, String outcome) {
            if (!sending.over) {
                sending.over = true;
                boolean answered = outcome.equals("S") || outcome.equals("E") || outcome.equals("F");
                boolean reports =
                        answered && deployment.reportsLoad && deployment != Deployment.REPORTS_TO_PROBES;
                tell("Ended", sending.dispatcher, sending.task,
                        ",\"Try\":" + sending.number + ",\"Worker\":" + sending.worker
                                + ",\"DurationMs\":1.0,\"Disposition\":\"" + outcome + "\",\"Terminal\":"
                                + outcome.equals("S")
                                + (reports ? load(sending.worker) : ""));
            }
        }

        private void stop(Sending sending) {
            after(1, () -> end(sending, "X"));
        }

        private void probe(String dispatcher, int worker) {
            int luck = random.nextInt(10);
            if (luck > 0) {
                boolean answered = luck > 1;
                after(answered ? 2 : 12,
                        () -> news.add("{\"t\":\"Echo\",\"Who\":\"" + dispatcher + "\",\"Worker\":" + worker
                                + ",\"Disposition\":\"" + (answered ? "S" : "T") + '"'
                                + (answered && deployment.reportsLoad ? load(worker) : "") + '}'));
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"REPORTS_WITH_ANSWERS, 5fcd287b2d8f9905", "REPORTS_TO_PROBES, a0131aa3847c6e74",
            "NO_REPORTS, 3b1056260075e412", "LIVE_WEIGHTS, c5645d3a68abe8bd"})
    void repliesToTheSameInputStayTheSame(Deployment deployment, String expected)
            throws IOException, NoSuchAlgorithmException {
        Day day = new Day(deployment, 48);
        String hash = day.play();
        assertTrue(day.commands.getOrDefault("Place", 0) > 1000, "too few tasks forwarded: " + day.commands);
        assertEquals(expected, hash, "commands: " + day.commands);
    }
}
