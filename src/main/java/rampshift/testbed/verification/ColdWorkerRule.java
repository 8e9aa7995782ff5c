package rampshift.testbed.verification;

import rampshift.testbed.verification.LogEvent.WorkerOverloaded;
import rampshift.testbed.verification.LogEvent.WorkerStarted;

/** The rule that no cold worker fails because dispatchers sent it more than it can handle. */
final class ColdWorkerRule implements LogEventListener {
    private final RuleTally tally = new RuleTally("no cold worker pushed over");

    Verdict.Rule result() {
        return tally.result();
    }

    @Override
    public void onWorkerStarted(WorkerStarted event) {
        if (event.cold()) {
            tally.countCase();
        }
    }

    @Override
    public void onWorkerOverloaded(WorkerOverloaded event) {
        tally.countBreach(event.worker() + " failed from overload at " + event.at());
    }
}
