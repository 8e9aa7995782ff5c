package rampshift.pipeline;

import java.util.List;
import rampshift.discovery.Endpoint;
import rampshift.discovery.EndpointList;
import rampshift.policy.DispatchPolicy;
import rampshift.settings.HostSettings;
import rampshift.time.Moment;
import rampshift.workers.ConnectionPool;

/** Applies endpoint lists to the connection pool and to the dispatch policy. */
public final class EndpointListUpdater {
    private final HostSettings settings;
    private final ConnectionPool pool;
    private final WorkerIds workerIds = new WorkerIds();

    /** Creates an updater of a pool; the settings name the zones and kinds that the policy knows. */
    public EndpointListUpdater(HostSettings settings, ConnectionPool pool) {
        this.settings = settings;
        this.pool = pool;
    }

    /** Applies a list to the pool; a complete one also removes the workers that it does not name. */
    void updatePool(EndpointList list, boolean complete) {
        if (complete) {
            pool.beginWhole();
        }
        for (Endpoint endpoint : list.targets()) {
            pool.listed(workerIds.number(endpoint.uid()), endpoint.uid(), endpoint.address(),
                    endpoint.zone() + '/' + endpoint.kind(), endpoint.bootMs(),
                    endpoint.state() == Endpoint.State.READY);
        }
        if (complete) {
            pool.endWhole();
        }
    }

    /** Applies a list to the policy. */
    void updatePolicy(DispatchPolicy policy, EndpointList list, DispatchPolicy.List kind) {
        policy.listBegins(kind);
        for (Endpoint endpoint : list.targets()) {
            policy.listed(workerIds.number(endpoint.uid()), index(settings.zones(), endpoint.zone()),
                    endpoint.cell(),
                    index(settings.kinds(), endpoint.kind()),
                    DispatchPolicy.Listed.valueOf(endpoint.state().name()),
                    Moment.ofMillis(endpoint.bootMs()),
                    endpoint.weight());
        }
        policy.listEnds();
    }

    /** Returns the index of a name; names that are not configured share the index after all that are. */
    private static int index(List<String> names, String name) {
        int index = names.indexOf(name);
        return index < 0 ? names.size() : index;
    }
}
