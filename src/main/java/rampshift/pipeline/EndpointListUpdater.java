package rampshift.pipeline;

import java.util.List;
import rampshift.discovery.Endpoint;
import rampshift.discovery.EndpointList;
import rampshift.policy.DispatchPolicy;
import rampshift.policy.EndpointListKind;
import rampshift.policy.EndpointState;
import rampshift.policy.ListedWorker;
import rampshift.settings.HostSettings;
import rampshift.time.Moment;
import rampshift.workers.ConnectionPool;
import rampshift.workers.WorkerListing;

/** Applies endpoint lists to the connection pool and to the dispatch policy. */
public final class EndpointListUpdater {
    private final HostSettings settings;
    private final ConnectionPool pool;
    private final WorkerIds workerIds = new WorkerIds();

    /** Creates an updater of a pool. The settings contain the names of the zones and kinds. */
    public EndpointListUpdater(HostSettings settings, ConnectionPool pool) {
        this.settings = settings;
        this.pool = pool;
    }

    /** Applies a list to the pool. Workers that a complete list lacks are then no longer ready. */
    void updatePool(EndpointList list, boolean complete) {
        if (complete) {
            pool.beginCompleteList();
        }
        for (Endpoint endpoint : list.endpoints()) {
            pool.updateWorker(new WorkerListing(workerIds.number(endpoint.uid()), endpoint.uid(),
                    endpoint.address(), endpoint.zone() + '/' + endpoint.kind(), endpoint.startedAtMillis(),
                    endpoint.state() == Endpoint.State.READY));
        }
        if (complete) {
            pool.endCompleteList();
        }
    }

    /** Applies a list to the policy. */
    void updatePolicy(DispatchPolicy policy, EndpointList list, EndpointListKind kind) {
        policy.onEndpointListBegin(kind);
        for (Endpoint endpoint : list.endpoints()) {
            policy.onEndpoint(listedWorker(endpoint));
        }
        end(policy);
    }

    /** Reports to the policy that no list can be obtained. */
    void reportFailure(DispatchPolicy policy) {
        policy.onEndpointListBegin(EndpointListKind.FAILED);
        end(policy);
    }

    private void end(DispatchPolicy policy) {
        policy.onEndpointListEnd().forEach(this::forget);
    }

    /** Forgets a worker that the policy has forgotten, unless a later list has named it meanwhile. */
    private void forget(long number) {
        if (!pool.isReady(number)) {
            pool.forgetWorker(number);
            workerIds.forget(number);
        }
    }

    private ListedWorker listedWorker(Endpoint endpoint) {
        return new ListedWorker(workerIds.number(endpoint.uid()), index(settings.zones(), endpoint.zone()),
                endpoint.cell(), index(settings.kinds(), endpoint.kind()), policyState(endpoint.state()),
                Moment.ofMillis((double) endpoint.startedAtMillis()), endpoint.weight());
    }

    private static EndpointState policyState(Endpoint.State state) {
        return switch (state) {
            case READY -> EndpointState.READY;
            case DRAINING -> EndpointState.DRAINING;
            case REMOVED -> EndpointState.REMOVED;
        };
    }

    /** Returns the index of a name. All names that are not configured share the index after the last one. */
    private static int index(List<String> names, String name) {
        int index = names.indexOf(name);
        return index < 0 ? names.size() : index;
    }
}
