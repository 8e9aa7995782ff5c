package rampshift.jobs.host;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import rampshift.jobs.JobEvent;
import rampshift.jobs.JobProgress;
import rampshift.jobs.PeriodicJob;
import rampshift.jobs.PeriodicJobSettings;
import rampshift.leases.host.LeaseHost;
import rampshift.time.Clock;
import rampshift.time.Span;

/**
 * Runs the periodic jobs on the dispatcher's I/O thread: calls them at intervals and performs their output.
 */
public final class PeriodicJobHost {
    private static final Span TIMER_INTERVAL = Span.ofMillis(20);
    private static final long MICROS_PER_MILLI = 1000;

    private final LeaseHost leases;
    private final XnioIoThread thread;
    private final Clock clock;
    private final TaskClient client;
    private final List<PeriodicJob> jobs = new ArrayList<>();
    private final List<String> names;
    private XnioExecutor.Key timer;
    private boolean stopped;

    /** Starts the timer. The address is the one at which this dispatcher accepts tasks of clients. */
    public PeriodicJobHost(List<PeriodicJobSettings> settings, LeaseHost leases, XnioIoThread thread,
            Clock clock, InetSocketAddress address) {
        this.leases = leases;
        this.thread = thread;
        this.clock = clock;
        client = new TaskClient(thread, address);
        names = settings.stream().map(PeriodicJobSettings::name).toList();
        for (PeriodicJobSettings jobSettings : settings) {
            JobOutput output = new JobOutput(jobSettings.name());
            output.job = new PeriodicJob(jobSettings, leases.term(), output);
            jobs.add(output.job);
        }
        onTimer();
    }

    private void onTimer() {
        if (stopped) {
            return;
        }
        long wallMicros = System.currentTimeMillis() * MICROS_PER_MILLI;
        long[] tokens = leases.tokens(names);
        for (int i = 0; i < tokens.length; i++) {
            PeriodicJob job = jobs.get(i);
            String note = tokens[i] == 0 ? "" : leases.note(names.get(i));
            job.onTimer(clock.now(), dueRun(job.settings(), wallMicros), tokens[i], note);
        }
        timer = thread.executeAfter(this::onTimer, TIMER_INTERVAL.micros(), TimeUnit.MICROSECONDS);
    }

    private long dueRun(PeriodicJobSettings settings, long wallMicros) {
        String predecessor = settings.predecessor();
        JobProgress progress =
                predecessor.isEmpty() ? JobProgress.NONE : JobProgress.parse(leases.note(predecessor));
        return settings.dueRun(wallMicros, progress);
    }

    /** Renders the progress of all jobs as text for operators. */
    public String statusPage() {
        StringBuilder text = new StringBuilder();
        for (PeriodicJob job : jobs) {
            PeriodicJobSettings settings = job.settings();
            JobProgress progress = JobProgress.parse(leases.note(settings.name()));
            boolean isHeldHere = leases.remaining(settings.name()).longerThan(Span.ZERO);
            text.append(String.format("  %-24s run %d %s, %d of %d settled, %d may be out, held %s%n",
                    settings.name(), progress.run(), progress.complete() ? "over" : "under way",
                    progress.settledBelow(), settings.objects().size(),
                    progress.submittableBelow() - progress.settledBelow(),
                    isHeldHere ? "here" : "elsewhere or by nobody"));
        }
        return text.toString();
    }

    /** Stops the timer and closes idle connections. */
    public void stop() {
        stopped = true;
        if (timer != null) {
            timer.remove();
        }
        client.stop();
    }

    /** Submits, stores and reports what one job requests. */
    private final class JobOutput implements PeriodicJob.Output {
        private final String name;
        private PeriodicJob job;

        JobOutput(String name) {
            this.name = name;
        }

        @Override
        public void submit(int object, String id, String transactionId) {
            TaskRequest request =
                    new TaskRequest(job.settings(), object, id, transactionId, leases.token(name));
            client.submit(new TaskExchange(request, leases, client, (outcome, retryAfter) -> job
                    .onTaskEnded(clock.now(), request.token(), object, outcome, retryAfter)));
        }

        @Override
        public void writeNote(String note) {
            leases.writeNote(name, note);
        }

        @Override
        public void emit(JobEvent event, long run, int object) {
            leases.logEvent("duty-" + event.word(), name, leases.token(name), run + "/" + object);
        }
    }
}
