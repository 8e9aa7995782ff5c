package rampshift.policy;

import java.util.ArrayDeque;
import rampshift.time.Moment;
import rampshift.time.Span;

/** What counts for the rule on further attempts: tasks taken and attempts past their first, by window. */
final class RetryBudget {
    private final Settings settings;
    private final ArrayDeque<Moment> taken = new ArrayDeque<>();
    private final ArrayDeque<Attempt> further = new ArrayDeque<>();

    RetryBudget(Settings settings) {
        this.settings = settings;
    }

    /** Whether there is such a rule. */
    boolean isStated() {
        return settings.retryBudgetWindow.micros() > 0;
    }

    void onTaskArrived(Moment now) {
        if (isStated()) {
            taken.add(now);
            while (now.since(taken.peek()).longerThan(settings.retryBudgetWindow)) {
                taken.poll();
            }
        }
    }

    void onAttemptSent(Attempt attempt) {
        if (isStated() && attempt.number > 0) {
            further.add(attempt);
        }
    }

    /** It has turned out that nothing of the attempt was sent. */
    void onAttemptNotSent(Attempt attempt) {
        further.remove(attempt);
    }

    /** How many more are lawful in the window that ends now; both its ends are a tick on the safe side. */
    double left(Moment now) {
        Span span = settings.retryBudgetWindow;
        while (!taken.isEmpty() && now.since(taken.peek()).longerThan(span.minus(settings.tick.times(2)))) {
            taken.poll();
        }
        while (!further.isEmpty() && now.since(further.peek().sentAt).longerThan(span.plus(settings.tick))) {
            further.poll();
        }
        return settings.retryBudgetMinimum + settings.retryBudgetRatio * taken.size() - further.size();
    }

    /** Whether a task of the type had a further attempt in the window. Two types may have equal rows. */
    @SuppressWarnings("ReferenceEquality")
    boolean isUsedBy(TrafficType type) {
        return further.stream().anyMatch(attempt -> attempt.task.type == type);
    }
}
