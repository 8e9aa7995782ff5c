package rampshift.membership.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import rampshift.discovery.Endpoint;
import rampshift.discovery.EndpointList;
import rampshift.log.Log;
import rampshift.membership.DrainNotice;
import rampshift.membership.DrainNotices;
import rampshift.serve.ServerExtension;
import rampshift.time.Moment;
import rampshift.time.Span;

/**
 * Overrides the endpoint list of this dispatcher with drain notices of other members. Notices only take
 * workers out of service. Only the own list puts a worker back: by a list as new as the notice, by a later
 * start of the worker, or by any update, after the lifetime of the override, that leaves the worker ready.
 * Uses no sockets and no clock.
 */
final class DrainOverrides {
    private record ActiveOverride(DrainNotice notice, Moment since) {
    }

    private final boolean enabled;
    private final Span lifetime;
    private final ServerExtension.EndpointListener listener;
    private final String dispatcher;
    /** The endpoints of the own list, by id. */
    private final Map<String, Endpoint> ownEndpoints = new HashMap<>();
    private final Map<String, ActiveOverride> overrides = new LinkedHashMap<>();
    private long ownVersion = -1;
    private boolean hasOwnList;

    /**
     * Creates an object without overrides.
     *
     * @param enabled    whether notices of others are applied at all
     * @param lifetime   how long a notice overrides an own list that is updated but remains older than it
     * @param listener   is notified of workers that a notice takes out of service
     * @param dispatcher the name of this dispatcher, for the log
     */
    DrainOverrides(boolean enabled, Span lifetime, ServerExtension.EndpointListener listener,
            String dispatcher) {
        this.enabled = enabled;
        this.lifetime = lifetime;
        this.listener = listener;
        this.dispatcher = dispatcher;
    }

    /** Returns the number of workers that are overridden. */
    int count() {
        return overrides.size();
    }

    /** Discards the list version: another service, whose versions are not comparable, sends the next list. */
    void onDiscoveryChanged() {
        hasOwnList = false;
        ownVersion = -1;
    }

    /**
     * Handles a notice from another member; returns whether it overrides a worker that is ready in the own
     * list.
     */
    boolean onNotice(Moment now, DrainNotice notice) {
        Endpoint endpoint = ownEndpoints.get(notice.worker());
        if (!enabled || !hasOwnList || endpoint == null || endpoint.state() != Endpoint.State.READY
                || !notice.overrides(endpoint.startedAtMillis(), ownVersion)) {
            return false;
        }
        overrides.put(notice.worker(), new ActiveOverride(notice, now));
        Log.info("drain-notice", "worker", notice.worker(), "kind", notice.kind().label(), "version",
                notice.listVersion(), "own", ownVersion);
        listener.onEndpoints(new EndpointList(ownVersion, false, List.of(overridden(endpoint, notice))));
        return true;
    }

    /**
     * Handles an update of the own endpoint list.
     *
     * @param notices  the known notices
     * @param announce receives the notices to send to the other members
     * @return the list with the overrides applied
     */
    EndpointList onOwnList(Moment now, EndpointList list, DrainNotices notices,
            Consumer<DrainNotice> announce) {
        boolean isFirst = !hasOwnList;
        Map<String, Endpoint> unlisted = new HashMap<>(list.complete() ? ownEndpoints : Map.of());
        hasOwnList = true;
        ownVersion = list.version();
        if (list.complete()) {
            ownEndpoints.clear();
        }
        List<Endpoint> effective = new ArrayList<>(list.endpoints().size());
        for (Endpoint endpoint : list.endpoints()) {
            unlisted.remove(endpoint.uid());
            updateOwnEndpoint(endpoint);
            if (endpoint.state() != Endpoint.State.READY) {
                overrides.remove(endpoint.uid());
                announce.accept(noticeOf(endpoint));
            }
            effective.add(applyNotice(now, endpoint, notices.get(endpoint.uid())));
        }
        if (!isFirst) {
            unlisted.values()
                    .forEach(endpoint -> announce.accept(notice(endpoint,
                            DrainNotice.Kind.REMOVED)));
        }
        removeEndedOverrides(now, effective);
        return new EndpointList(list.version(), list.complete(), effective);
    }

    private void updateOwnEndpoint(Endpoint endpoint) {
        if (endpoint.state() == Endpoint.State.REMOVED) {
            ownEndpoints.remove(endpoint.uid());
        } else {
            ownEndpoints.put(endpoint.uid(), endpoint);
        }
    }

    private Endpoint applyNotice(Moment now, Endpoint endpoint, DrainNotice notice) {
        if (!enabled || notice == null || endpoint.state() != Endpoint.State.READY
                || !notice.overrides(endpoint.startedAtMillis(), ownVersion)) {
            return endpoint;
        }
        overrides.putIfAbsent(endpoint.uid(), new ActiveOverride(notice, now));
        return overridden(endpoint, notice);
    }

    /** Ends the overrides that are expired or outdated by the own list, and restores their workers. */
    private void removeEndedOverrides(Moment now, List<Endpoint> effective) {
        for (Map.Entry<String, ActiveOverride> entry : List.copyOf(overrides.entrySet())) {
            Endpoint endpoint = ownEndpoints.get(entry.getKey());
            ActiveOverride override = entry.getValue();
            if (endpoint != null && override.notice().overrides(endpoint.startedAtMillis(), ownVersion)
                    && !now.since(override.since()).longerThan(lifetime)) {
                continue;
            }
            overrides.remove(entry.getKey());
            if (endpoint != null) {
                effective.removeIf(other -> other.uid().equals(endpoint.uid()));
                effective.add(endpoint);
                Log.info("drain-notice-expired", "worker", endpoint.uid(), "own", ownVersion, "of",
                        dispatcher);
            }
        }
    }

    private DrainNotice noticeOf(Endpoint endpoint) {
        boolean removed = endpoint.state() == Endpoint.State.REMOVED;
        return notice(endpoint, removed ? DrainNotice.Kind.REMOVED : DrainNotice.Kind.DRAINING);
    }

    private DrainNotice notice(Endpoint endpoint, DrainNotice.Kind kind) {
        return new DrainNotice(endpoint.uid(), endpoint.startedAtMillis(), ownVersion, kind);
    }

    private static Endpoint overridden(Endpoint endpoint, DrainNotice notice) {
        boolean removed = notice.kind() == DrainNotice.Kind.REMOVED;
        Endpoint.State state = removed ? Endpoint.State.REMOVED : Endpoint.State.DRAINING;
        return new Endpoint(endpoint.uid(), endpoint.address(), endpoint.zone(), endpoint.kind(),
                endpoint.cell(), state,
                endpoint.weight(), endpoint.startedAtMillis());
    }
}
