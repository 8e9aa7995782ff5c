package rampshift.workers;

/**
 * One line of a worker's response to a task.
 *
 * @param taskId the id of the task; null if the line contains none
 * @param workerUid the uid of the worker; null if the line contains none
 * @param state the state of the task
 * @param stateName the state as the worker wrote it; null if the line contains none
 * @param progressShare the share of the task that is done; NaN if the line contains none
 * @param load the load of the worker; null if the line contains none
 * @param result the result of the task; empty if the line contains none
 */
record ProgressMessage(String taskId, String workerUid, TaskState state, String stateName,
        double progressShare,
        LoadReport load, byte[] result) {
}
