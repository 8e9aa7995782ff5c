package rampshift.testbed.clients;

import org.xnio.XnioIoThread;
import rampshift.testbed.plan.FleetPlan;

/**
 * What all attempts of a load process use.
 *
 * @param plan how clients behave
 * @param thread the I/O thread on which attempts run
 * @param frontProxy hears of dispatchers that cannot be reached
 * @param connector opens connections
 * @param eventLog receives what becomes of each attempt
 * @param tasks names attempts
 */
record AttemptContext(FleetPlan plan, XnioIoThread thread, FrontProxy frontProxy,
        DispatcherConnector connector, ClientEventLog eventLog, TaskFactory tasks) {}
