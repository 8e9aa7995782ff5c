package rampshift.discovery;

import java.util.List;

/**
 * A version of the list of workers, or the changes since an earlier version.
 *
 * @param version the version as counted by the discovery agent; versions of different agents are not
 *     comparable
 * @param complete whether the list has all workers, so that those not among the endpoints are removed;
 *     otherwise these are unchanged
 * @param endpoints the workers, in the order of the list
 */
public record EndpointList(long version, boolean complete, List<Endpoint> endpoints) {
}
