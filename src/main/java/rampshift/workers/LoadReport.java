package rampshift.workers;

/**
 * The load that a worker reports in a response to a task or to a health check. Each component is NaN if the
 * worker reports none or an implausible number.
 *
 * @param freeSlots the number of free slots
 * @param queued the number of tasks in the queue of the worker
 * @param inFlight the number of tasks that run on the worker
 * @param freeMemory the free memory, in the unit of the fleet's settings
 */
public record LoadReport(double freeSlots, double queued, double inFlight, double freeMemory) {
}
