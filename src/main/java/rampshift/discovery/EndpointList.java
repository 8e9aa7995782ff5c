package rampshift.discovery;

import java.util.List;

/**
 * A version of the list of workers, or what changed in it.
 *
 * @param version the version that the discovery agent counts; versions of different agents do not compare
 * @param complete whether workers that are not among the endpoints are removed; otherwise they stay as they
 *     were
 * @param endpoints the workers, in the order of the list
 */
public record EndpointList(long version, boolean complete, List<Endpoint> endpoints) {
}
