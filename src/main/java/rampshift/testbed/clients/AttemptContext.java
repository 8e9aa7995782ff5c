package rampshift.testbed.clients;

import org.xnio.XnioIoThread;
import rampshift.testbed.plan.FleetPlan;

/**
 * The context that all attempts of a load process share.
 *
 * @param plan the plan of the run, with the behavior of clients
 * @param thread the I/O thread on which attempts run
 * @param frontProxy chooses dispatchers, and records their connection failures
 * @param connector opens connections
 * @param eventLog receives the events of attempts
 * @param taskFactory creates tasks and the identifiers of attempts
 */
record AttemptContext(FleetPlan plan, XnioIoThread thread, FrontProxy frontProxy,
        DispatcherConnector connector, ClientEventLog eventLog, TaskFactory taskFactory) {}
