package rampshift.testbed.clients;

import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.plan.FleetPlanReader;

/**
 * Plans for tests of clients: two sites, a (two dispatchers, three quarters of the traffic) and b, and two
 * traffic types, x and y.
 */
final class TwoSitePlan {
    static final int SITE_A = 0;
    static final int SITE_B = 1;
    static final int TYPE_X = 0;
    static final int TYPE_Y = 1;

    private TwoSitePlan() {}

    /** Returns the plan with equal shares of both types, followed by further settings. */
    static FleetPlan read(String more) {
        return read("share = 1\n", more);
    }

    /** Returns the plan with given settings of type y, followed by further settings. */
    static FleetPlan read(String settingsOfTypeY, String more) {
        return FleetPlanReader.read("f.toml", """
                length = "100s"
                [[machine]]
                name = "m"
                [[site]]
                name = "a"
                share = 3
                dispatchers = 2
                [[site]]
                name = "b"
                share = 1
                [[type]]
                name = "x"
                share = 1
                work = "100ms"
                spread = "exponential"
                [[type]]
                name = "y"
                """ + settingsOfTypeY + more, null);
    }
}
