package rampshift.testbed.verification;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rampshift.testbed.verification.LeaseEvent.RegisterChanged;

/**
 * The rule that the changes of each register are those of a single one (linearizability): a version has one
 * value, and what was known as chosen before another change was requested precedes it. Versions order the
 * changes totally, so nothing else is to be checked.
 */
final class RegisterRule implements LogEventListener {
    /** How much the times that two processes give one instant may differ, in microseconds. */
    private static final long CLOCK_TOLERANCE_MICROS = 2_000;

    private final RuleTally tally = new RuleTally("tokens' registers are one each");
    private final Map<String, List<RegisterChanged>> changesOfRegister = new TreeMap<>();

    Verdict.Rule result() {
        return tally.result();
    }

    @Override
    public void onRegisterChanged(RegisterChanged event) {
        changesOfRegister.computeIfAbsent(event.register(), absent -> new ArrayList<>()).add(event);
    }

    /** Checks all registers; to be called once, after the last event. */
    void check() {
        changesOfRegister.forEach((register, changes) -> {
            checkValues(register, changes);
            checkOrder(register, changes);
        });
    }

    private void checkValues(String register, List<RegisterChanged> changes) {
        Map<Long, String> values = new HashMap<>();
        for (RegisterChanged change : changes) {
            String value = change.token() + " of " + change.holder();
            String earlier = values.putIfAbsent(change.version(), value);
            if (earlier != null && !earlier.equals(value)) {
                tally.countBreach(register + " has two values of version " + change.version() + ": " + earlier
                        + " and " + value);
            }
        }
    }

    private void checkOrder(String register, List<RegisterChanged> changes) {
        List<RegisterChanged> byRequest = new ArrayList<>(changes);
        byRequest.sort(Comparator.comparingLong(RegisterChanged::requestedAt));
        List<RegisterChanged> byCompletion = new ArrayList<>(changes);
        byCompletion.sort(Comparator.comparingLong(RegisterChanged::at));
        long highestKnown = 0;
        int known = 0;
        for (RegisterChanged change : byRequest) {
            while (byCompletion.get(known).at() + CLOCK_TOLERANCE_MICROS < change.requestedAt()) {
                highestKnown = Math.max(highestKnown, byCompletion.get(known).version());
                known++;
            }
            tally.countCase();
            if (change.version() < highestKnown) {
                tally.countBreach(register + ": version " + change.version() + " was asked for after "
                        + highestKnown + " was known");
            }
        }
    }
}
