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
    private static final double SIMULATION_MS = 12_000;
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

        private static String type(String effect, String extraFields, double earnings, double tardyEarnings) {
            return "{\"DueTimeMs\":120.0,\"ExpiryMs\":3000.0,\"AimStretch\":2.0,\"WindowMs\":1500.0,"
                    + "\"Effect\":\""
                    + effect
                    + "\",\"Earnings\":" + earnings + ",\"TardyEarnings\":" + tardyEarnings + extraFields
                    + '}';
        }
    }

    private record Event(double at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** One attempt of a task, as the simulated workers see it. */
    private static final class Attempt {
        final String dispatcher;
        final long task;
        final int number;
        final int worker;
        boolean finished;

        Attempt(String dispatcher, long task, int number, int worker) {
            this.dispatcher = dispatcher;
            this.task = task;
            this.number = number;
            this.worker = worker;
        }
    }

    /** Dispatchers under the policy, and a small fleet with all the events that the policy handles. */
    private static final class Simulation {
        private final Deployment deployment;
        private final Random random;
        private final SimulatorHost host = new SimulatorHost();
        private final MessageDigest digest;
        private final PriorityQueue<Event> scheduledEvents = new PriorityQueue<>();
        private final List<String> messages = new ArrayList<>();
        private final Map<String, List<Attempt>> attempts = new HashMap<>();
        private final Map<String, Integer> commandCounts = new HashMap<>();
        private final double[][] busyUntil = new double[WORKERS][SLOTS];
        private final double[] speed = new double[WORKERS];
        private final String[] states = new String[WORKERS];
        private final double[] startedAt = new double[WORKERS];
        private double now = 1_000_000;
        private long order;
        private long taskCount;

        Simulation(Deployment deployment, long seed) throws NoSuchAlgorithmException {
            this.deployment = deployment;
            random = new Random(seed);
            digest = MessageDigest.getInstance("SHA-256");
            for (int w = 0; w < WORKERS; w++) {
                speed[w] = 0.5 + 1.5 * random.nextDouble();
                states[w] = "IN";
            }
        }

        private void after(double delayMs, Runnable action) {
            scheduledEvents.add(new Event(now + delayMs, order++, action));
        }

        String run() throws IOException {
            for (int d = 0; d < DISPATCHERS; d++) {
                start("d/" + d, d % 2, d);
            }
            addArrival();
            changeEndpoints();
            double end = now + SIMULATION_MS;
            while (now < end) {
                now = Math.max(now + TICK_MS, scheduledEvents.peek().at);
                while (!scheduledEvents.isEmpty() && scheduledEvents.peek().at <= now) {
                    scheduledEvents.poll().action.run();
                }
                byte[] reply = host.reply(ByteBuffer.wrap(("{\"SimTimeMs\":" + now + ",\"news\":["
                        + String.join(",", messages) + "]}").getBytes(StandardCharsets.UTF_8)));
                messages.clear();
                digest.update(reply);
                execute(new String(reply, StandardCharsets.UTF_8));
            }
            return HexFormat.of().formatHex(digest.digest()).substring(0, 16);
        }

        private void start(String dispatcher, int zone, long seed) {
            messages.add(deployment.attach(dispatcher, zone, seed));
            addEndpointList(dispatcher, "cached", 0, WORKERS);
        }

        /** Adds a task and schedules the next. The load varies, as do timeouts; some clients disconnect. */
        private void addArrival() {
            double loadFactor = (now / 5000) % 2 < 1.4 ? 1 : 2.2;
            String dispatcher = "d/" + (random.nextInt(4) == 0 ? random.nextInt(DISPATCHERS) : 0);
            long id = ++taskCount;
            int type = random.nextInt(5);
            double patience = random.nextInt(8) == 0 ? 200 + 800 * random.nextDouble() : 3000;
            messages.add("{\"t\":\"Arrival\",\"Who\":\"" + dispatcher + "\",\"Ref\":" + id
                    + ",\"ExpectedMs\":"
                    + (20 + random.nextInt(200)) + ",\"Owner\":" + random.nextInt(2) + ",\"Priority\":" + type
                    + ",\"StateBits\":" + random.nextInt(2) + ",\"Width\":" + (1 + random.nextInt(2))
                    + ",\"RamUnits\":"
                    + random.nextInt(3) + ",\"PatienceLeftMs\":" + patience + '}');
            if (random.nextInt(40) == 0) {
                after(50 + random.nextInt(400), () -> addTaskMessage("Hangup", dispatcher, id, ""));
            }
            after(-Math.log(1 - random.nextDouble()) * 9 / loadFactor, this::addArrival);
        }

        /** Changes the state of a worker and sends lists; lists may fail and a dispatcher may restart. */
        private void changeEndpoints() {
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
                    addEndpointList(dispatcher, "failed", 0, 0);
                } else if (kind < 3) {
                    addEndpointList(dispatcher, "full", 0, WORKERS);
                } else {
                    addEndpointList(dispatcher, "delta", worker, worker + 1);
                }
            }
            if (kind == 11) {
                String last = "d/" + (DISPATCHERS - 1);
                messages.add("{\"t\":\"Retire\",\"Who\":\"" + last + "\"}");
                attempts.keySet().removeIf(key -> key.startsWith(last + ' '));
                start(last, 1, taskCount);
            }
            after(100 + random.nextInt(500), this::changeEndpoints);
        }

        private void addEndpointList(String dispatcher, String how, int from, int to) {
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
            messages.add("{\"t\":\"Fleet\",\"Who\":\"" + dispatcher + "\",\"Serial\":1,\"How\":\"" + how
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
            boolean reportsIdle = worker % 7 == 3 && (now / 4000) % 3 < 1;
            int busy = reportsIdle ? 0 : busySlots(worker);
            return ",\"Load\":{\"x0\":" + (SLOTS - busy) + ".0,\"x1\":" + (4 - busy) + ".0,\"concurrent\":"
                    + busy + '}';
        }

        private void addTaskMessage(String messageType, String dispatcher, long task, String extraFields) {
            messages.add("{\"t\":\"" + messageType + "\",\"Who\":\"" + dispatcher + "\",\"Ref\":" + task
                    + extraFields + '}');
        }

        private void execute(String reply) {
            Matcher command =
                    Pattern.compile("\\{\"t\":\"(\\w+)\",\"Who\":\"([^\"]+)\"([^}]*)}").matcher(reply);
            while (command.find()) {
                String dispatcher = command.group(2);
                String fields = command.group(3);
                commandCounts.merge(command.group(1), 1, Integer::sum);
                switch (command.group(1)) {
                    case "Place" ->
                        startAttempt(dispatcher, field(fields, "Ref"), (int) field(fields, "Worker"));
                    case "StopAttempt" ->
                        cancel(attempts(dispatcher, field(fields, "Ref")).get((int) field(fields, "Try")));
                    case "HealthCheck" -> probe(dispatcher, (int) field(fields, "Worker"));
                    case "NotifyMe" -> after(Math.max(0, field(fields, "TimeMs") - now),
                            () -> messages
                                    .add("{\"t\":\"Wakeup\",\"Who\":\"" + dispatcher + "\",\"Name\":0}"));
                    case "Observe" -> after(20, () -> addEndpointList(dispatcher, "full", 0, WORKERS));
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

        private List<Attempt> attempts(String dispatcher, long task) {
            return attempts.computeIfAbsent(dispatcher + ' ' + task, key -> new ArrayList<>());
        }

        private void startAttempt(String dispatcher, long task, int worker) {
            List<Attempt> all = attempts(dispatcher, task);
            Attempt attempt = new Attempt(dispatcher, task, all.size(), worker);
            all.add(attempt);
            boolean failing = (worker * 1300 + now) % 9000 < 1500;
            int draw = random.nextInt(100);
            if (failing && draw < 70) {
                String[] outcomes = {"E", "C", "R", "T", "F", "N", ""};
                String outcome = outcomes[random.nextInt(outcomes.length)];
                if (!outcome.isEmpty()) {
                    after(1 + random.nextInt(60), () -> finish(attempt, outcome));
                }
                return;
            }
            if (draw < 2) {
                after(15, () -> finish(attempt, "E"));
                return;
            }
            int slot = 0;
            for (int i = 1; i < SLOTS; i++) {
                slot = busyUntil[worker][i] < busyUntil[worker][slot] ? i : slot;
            }
            double start = Math.max(now + 1, busyUntil[worker][slot]);
            if (start > now + 400) {
                after(2, () -> finish(attempt, "F"));
                return;
            }
            double durationMs = (20 + random.nextInt(160)) / speed[worker];
            busyUntil[worker][slot] = start + durationMs;
            after(start - now, () -> started(attempt, durationMs));
        }

        private void started(Attempt attempt, double durationMs) {
            if (attempt.finished) {
                return;
            }
            if (deployment != Deployment.LIVE_WEIGHTS) {
                addNote(attempt, ",\"What\":1");
            }
            for (double at = PROGRESS_MS; at < durationMs; at += PROGRESS_MS) {
                double share = at / durationMs;
                after(at, () -> addNote(attempt, ",\"What\":2,\"Value\":" + share));
            }
            after(durationMs, () -> finish(attempt, "S"));
        }

        private void addNote(Attempt attempt, String extraFields) {
            if (!attempt.finished) {
                addTaskMessage("Note", attempt.dispatcher, attempt.task,
                        ",\"Try\":" + attempt.number + ",\"Worker\":" + attempt.worker + extraFields);
            }
        }

        private void finish(Attempt attempt, String outcome) {
            if (!attempt.finished) {
                attempt.finished = true;
                boolean answered = outcome.equals("S") || outcome.equals("E") || outcome.equals("F");
                boolean reports =
                        answered && deployment.reportsLoad && deployment != Deployment.REPORTS_TO_PROBES;
                addTaskMessage("Ended", attempt.dispatcher, attempt.task,
                        ",\"Try\":" + attempt.number + ",\"Worker\":" + attempt.worker
                                + ",\"DurationMs\":1.0,\"Disposition\":\"" + outcome + "\",\"Terminal\":"
                                + outcome.equals("S")
                                + (reports ? load(attempt.worker) : ""));
            }
        }

        private void cancel(Attempt attempt) {
            after(1, () -> finish(attempt, "X"));
        }

        private void probe(String dispatcher, int worker) {
            int draw = random.nextInt(10);
            if (draw > 0) {
                boolean answered = draw > 1;
                after(answered ? 2 : 12,
                        () -> messages.add("{\"t\":\"Echo\",\"Who\":\"" + dispatcher + "\",\"Worker\":"
                                + worker
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
        Simulation simulation = new Simulation(deployment, 48);
        String hash = simulation.run();
        assertTrue(simulation.commandCounts.getOrDefault("Place", 0) > 1000,
                "too few tasks forwarded: " + simulation.commandCounts);
        assertEquals(expected, hash, "commands: " + simulation.commandCounts);
    }
}
