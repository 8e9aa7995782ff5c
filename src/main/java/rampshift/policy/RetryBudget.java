package rampshift.policy;

import java.util.ArrayDeque;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * What counts for the rule on further assignments: tasks taken and assignments past their first, by window.
 */
final class RetryBudget {
    private final Settings settings;
    private final ArrayDeque<Moment> taken = new ArrayDeque<>();
    private final ArrayDeque<Attempt> further = new ArrayDeque<>();

    RetryBudget(Settings settings) {
        this.settings = settings;
    }

    boolean stated() {
        return settings.budgetSpan.micros() > 0;
    }

    void taken(Moment now) {
        if (stated()) {
            taken.add(now);
            while (now.since(taken.peek()).longerThan(settings.budgetSpan)) {
                taken.poll();
            }
        }
    }

    void sent(Attempt a) {
        if (stated() && a.number > 0) {
            further.add(a);
        }
    }

    void neverSent(Attempt a) {
        further.remove(a);
    }

    /** How many more are lawful in the window that ends now; both its ends are a tick on the safe side. */
    double left(Moment now) {
        Span span = settings.budgetSpan;
        while (!taken.isEmpty() && now.since(taken.peek()).longerThan(span.minus(settings.tick.times(2)))) {
            taken.poll();
        }
        while (!further.isEmpty() && now.since(further.peek().sentAt).longerThan(span.plus(settings.tick))) {
            further.poll();
        }
        return settings.budgetFloor + settings.budgetShare * taken.size() - further.size();
    }

    /** Whether a task of the type had a further assignment in the window. */
    boolean used(TrafficType type) {
        return further.stream().anyMatch(a -> a.task.type == type);
    }
}
