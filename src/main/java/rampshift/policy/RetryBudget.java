package rampshift.policy;

import java.util.ArrayDeque;
import rampshift.time.Moment;
import rampshift.time.Span;

/** The retry budget: counts the tasks that arrived and the attempts past their first in a sliding window. */
final class RetryBudget {
    private final Settings settings;
    private final ArrayDeque<Moment> taskArrivals = new ArrayDeque<>();
    private final ArrayDeque<Attempt> furtherAttempts = new ArrayDeque<>();

    RetryBudget(Settings settings) {
        this.settings = settings;
    }

    /** Returns whether the settings limit further attempts. */
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

    /** Takes back an attempt of which nothing was sent. */
    void onAttemptNotSent(Attempt attempt) {
        furtherAttempts.remove(attempt);
    }

    /**
     * Returns how many further attempts the window that ends now has room for. For safety against the
     * granularity of timers, arrivals count for two ticks less than the window and further attempts for one
     * tick more.
     */
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

    /**
     * Returns whether a task of the type had a further attempt in the window. Types are compared by identity,
     * since two of them may have equal rows.
     */
    @SuppressWarnings("ReferenceEquality")
    boolean isUsedBy(TrafficType type) {
        return furtherAttempts.stream().anyMatch(attempt -> attempt.task.type == type);
    }
}
