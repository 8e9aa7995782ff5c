package rampshift.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Simulates the register of a periodic job's lease and the holder of the lease. Time advances in steps of
 * 10 ms; a write of the register takes 30 ms; random draws decide whether a task is rejected, fails after it
 * took effect, or is completed.
 */
final class JobSimulation implements PeriodicJob.Output {
    private static final long START_MILLIS = 5000;
    private static final long STEP_MILLIS = 10;
    private static final long WRITE_MILLIS = 30;
    private static final int MAX_TASK_MILLIS = 60;
    private static final long MICROS_PER_MILLI = 1000;
    private static final long RUN_INTERVAL_MILLIS = 1000;

    /** An event that the job reported. */
    record Event(JobEvent type, long run, int object) {}

    private final PeriodicJobSettings settings;
    private final SplittableRandom random;
    private final Map<String, Integer> effects = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final List<Event> allEvents = new ArrayList<>();
    private final List<Runnable> scheduled = new ArrayList<>();
    private final Map<Runnable, Long> scheduledMillis = new HashMap<>();
    private String register = "";
    private PeriodicJob holder;
    private long token;
    private long nowMillis = START_MILLIS;

    JobSimulation(long seed, PeriodicJobSettings settings) {
        random = new SplittableRandom(seed);
        this.settings = settings;
    }

    SplittableRandom random() {
        return random;
    }

    String register() {
        return register;
    }

    PeriodicJob holder() {
        return holder;
    }

    long token() {
        return token;
    }

    long nowMicros() {
        return nowMillis * MICROS_PER_MILLI;
    }

    /** Returns the events reported since the list was last cleared. */
    List<Event> events() {
        return events;
    }

    /** Returns the runs for which an event of this type was reported. */
    List<Long> runs(JobEvent type) {
        return allEvents.stream().filter(event -> event.type == type).map(Event::run).toList();
    }

    boolean isReportedUnsure(long run, int object) {
        return allEvents.contains(new Event(JobEvent.TASK_UNSURE, run, object));
    }

    boolean hasNoEffects() {
        return effects.isEmpty();
    }

    /** Returns how often a task took effect. */
    int effects(long run, int object) {
        return effects.getOrDefault(settings.name() + "-" + run + "-" + object, 0);
    }

    /** Lets another dispatcher acquire the lease. */
    void takeOver() {
        holder = new PeriodicJob(settings, Span.ofMillis(1000), this);
        token++;
    }

    /** Crashes the holder. Its tasks in flight still take effect, but its pending writes are lost. */
    void crash() {
        holder = null;
    }

    private void after(long millis, Runnable action) {
        scheduled.add(action);
        scheduledMillis.put(action, nowMillis + millis);
    }

    void runUntil(long millis) {
        run(millis - nowMillis);
    }

    void run(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
            for (Runnable action : List.copyOf(scheduled)) {
                if (scheduledMillis.get(action) <= nowMillis) {
                    scheduled.remove(action);
                    action.run();
                }
            }
            if (holder != null) {
                holder.onTimer(new Moment(nowMicros()), nowMillis / RUN_INTERVAL_MILLIS, token, register);
            }
        }
    }

    @Override
    public void submit(int object, String id, String transactionId) {
        PeriodicJob submitter = holder;
        long taskToken = token;
        long millis = random.nextInt(MAX_TASK_MILLIS);
        int draw = random.nextInt(10);
        PeriodicJob.TaskOutcome outcome = switch (draw) {
            case 0, 1 -> PeriodicJob.TaskOutcome.NEVER_RAN;
            case 2 -> PeriodicJob.TaskOutcome.MAY_HAVE_RUN;
            default -> PeriodicJob.TaskOutcome.COMPLETED;
        };
        after(millis, () -> {
            if (outcome != PeriodicJob.TaskOutcome.NEVER_RAN) {
                effects.merge(id, 1, Integer::sum);
            }
            submitter.onTaskEnded(new Moment(nowMicros()), taskToken, object, outcome, Span.ofMillis(50));
        });
    }

    @Override
    public void writeNote(String note) {
        PeriodicJob writer = holder;
        after(WRITE_MILLIS, () -> register = holder == writer ? note : register);
    }

    @Override
    public void emit(JobEvent type, long run, int object) {
        events.add(new Event(type, run, object));
        allEvents.add(new Event(type, run, object));
    }
}
