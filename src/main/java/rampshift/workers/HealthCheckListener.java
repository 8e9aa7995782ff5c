package rampshift.workers;

/** Receives the result of a health check, once. */
public interface HealthCheckListener {
    /**
     * Called when the health check has ended.
     *
     * @param workerNumber the worker that was checked
     * @param healthy whether the worker responded in time with status 200
     * @param load the load that the worker reported; null if it reported none
     */
    void onHealthCheck(long workerNumber, boolean healthy, LoadReport load);
}
