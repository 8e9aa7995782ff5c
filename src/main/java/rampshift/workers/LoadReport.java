package rampshift.workers;

/**
 * The load that a worker reports in a response or a health check. Each component is NaN where the worker
 * reports nothing, or no plausible number.
 *
 * @param freeSlots the number of free slots
 * @param queued the number of tasks that wait at the worker
 * @param inFlight the number of tasks that run at the worker
 * @param freeMemory the free memory, in the unit of the fleet's settings
 */
public record LoadReport(double freeSlots, double queued, double inFlight, double freeMemory) {
}
