package rampshift.policy;

import java.util.ArrayDeque;
import rampshift.time.Moment;
import rampshift.time.Span;

/** What counts for the rule on further attempts: tasks taken and attempts past their first, by window. */
final class RetryBudget {
    private final Settings settings;
    private final ArrayDeque<Moment> taskArrivals = new ArrayDeque<>();
    private final ArrayDeque<Attempt> furtherAttempts = new ArrayDeque<>();

    RetryBudget(Settings settings) {
        this.settings = settings;
    }

    /** Whether there is such a rule. */
    boolean isEnabled() {
        return settings.retryBudgetWindow.micros() > 0;
    }

    void onTaskArrived(Moment now) {
        if (isEnabled()) {
            taskArrivals.add(now);
            while (now.since(taskArrivals.peek()).longerThan(settings.retryBudgetWindow)) {
                taskArrivals.poll();
            }
        }
    }

    void onAttemptSent(Attempt attempt) {
        if (isEnabled() && attempt.number > 0) {
            furtherAttempts.add(attempt);
        }
    }

    /** It has turned out that nothing of the attempt was sent. */
    void onAttemptNotSent(Attempt attempt) {
        furtherAttempts.remove(attempt);
    }

    /** How many more are lawful in the window that ends now; both its ends are a tick on the safe side. */
    double remaining(Moment now) {
        Span span = settings.retryBudgetWindow;
        while (!taskArrivals.isEmpty()
                && now.since(taskArrivals.peek()).longerThan(span.minus(settings.tick.times(2)))) {
            taskArrivals.poll();
        }
        while (!furtherAttempts.isEmpty()
                && now.since(furtherAttempts.peek().sentAt).longerThan(span.plus(settings.tick))) {
            furtherAttempts.poll();
        }
        return settings.retryBudgetMinimum + settings.retryBudgetRatio * taskArrivals.size()
                - furtherAttempts.size();
    }

    /** Whether a task of the type had a further attempt in the window. Two types may have equal rows. */
    @SuppressWarnings("ReferenceEquality")
    boolean isUsedBy(TrafficType type) {
        return furtherAttempts.stream().anyMatch(attempt -> attempt.task.type == type);
    }
}
