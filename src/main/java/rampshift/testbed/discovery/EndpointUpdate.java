package rampshift.testbed.discovery;

import java.util.List;

/**
 * A response of a discovery agent to a dispatcher.
 *
 * @param version the version of the endpoint list that the dispatcher has after the update
 * @param complete whether it contains the full list; else only changed entries
 * @param entries the entries, in the order in which they are sent
 */
record EndpointUpdate(long version, boolean complete, List<WorkerEntry> entries) {

    private static final int ENVELOPE_CHARS = 64;
    private static final int ENTRY_CHARS = 160;

    /** Returns the JSON object that is sent to a dispatcher. */
    String toJson(int dispatcher) {
        StringBuilder json = new StringBuilder(ENVELOPE_CHARS + entries.size() * ENTRY_CHARS);
        json.append("{\"rev\":").append(version).append(",\"all\":").append(complete);
        json.append(",\"targets\":[");
        String separator = "";
        for (WorkerEntry entry : entries) {
            json.append(separator).append(entry.toJson(dispatcher));
            separator = ",";
        }
        return json.append("]}").toString();
    }
}
