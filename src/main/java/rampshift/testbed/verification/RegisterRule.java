package rampshift.testbed.verification;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import rampshift.testbed.verification.LeaseEvent.RegisterChanged;

/**
 * The rule that each register is linearizable: a version has one value, and a change that was known as chosen
 * before another change was requested has no higher version than that one. Versions order the changes
 * totally, so these two conditions are sufficient.
 */
final class RegisterRule implements LogEventListener {
    /** The maximum difference between the clocks of two processes, in microseconds. */
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

    /** Checks all registers. Must be called once, after the last event. */
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
                tally.countBreach(register + ": version " + change.version() + " was requested after "
                        + highestKnown + " was known");
            }
        }
    }
}
