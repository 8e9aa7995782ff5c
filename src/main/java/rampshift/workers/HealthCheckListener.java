package rampshift.workers;

/** Receives the result of a health check, once. */
public interface HealthCheckListener {
    /**
     * The health check has ended.
     *
     * @param workerNumber the worker that was checked
     * @param healthy whether the worker answered in time with status 200
     * @param load the load that it reported; null if it reported none
     */
    void onHealthCheck(long workerNumber, boolean healthy, LoadReport load);
}
