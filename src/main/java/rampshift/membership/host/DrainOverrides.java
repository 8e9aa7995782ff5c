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
 * Which workers news from others binds, beside what the own list says. Only what binds more is taken from
 * others; what
 * puts a worker back is the own list's word alone: a list as new as the news, or a later start, or the same
 * list still
 * being told a stated time after. No sockets, no clock.
 */
final class DrainOverrides {
    private final boolean on;
    private final Span lasts;
    private final ServerExtension.EndpointListener bound;
    private final String name;
    // looked up, walked where a list is whole
    private final Map<String, Endpoint> own = new HashMap<>();
    private final Map<String, Held> held = new LinkedHashMap<>();
    private long version = -1;
    private boolean haveOwn;

    private record Held(DrainNotice news, Moment since) {}

    DrainOverrides(boolean on, Span lasts, ServerExtension.EndpointListener bound, String name) {
        this.on = on;
        this.lasts = lasts;
        this.bound = bound;
        this.name = name;
    }

    int held() {
        return held.size();
    }

    void moved() {
        haveOwn = false;
        version = -1;
    }

    /** News from another: true if it binds a worker that the own list still calls ready. */
    boolean heard(Moment now, DrainNotice news) {
        Endpoint t = own.get(news.worker());
        if (!on || !haveOwn || t == null || t.state() != Endpoint.State.READY
                || !news.binds(t.startedAtMillis(), version)) {
            return false;
        }
        held.put(news.worker(), new Held(news, now));
        Log.info("news", "worker", news.worker(), "kind", news.kind(), "version", news.version(), "own",
                version);
        bound.onEndpoints(new EndpointList(version, false, List.of(as(t, news))));
        return true;
    }

    /** The own list: what is to be gone by, and what the others are to be told. */
    EndpointList listed(Moment now, EndpointList list, DrainNotices bulletin, Consumer<DrainNotice> learnt) {
        boolean first = !haveOwn;
        Map<String, Endpoint> before = new HashMap<>(list.complete() ? own : Map.of());
        haveOwn = true;
        version = list.version();
        if (list.complete()) {
            own.clear();
        }
        List<Endpoint> out = new ArrayList<>(list.endpoints().size());
        for (Endpoint t : list.endpoints()) {
            before.remove(t.uid());
            if (t.state() == Endpoint.State.REMOVED) {
                own.remove(t.uid());
            } else {
                own.put(t.uid(), t);
            }
            DrainNotice news = bulletin.of(t.uid());
            if (t.state() != Endpoint.State.READY) {
                held.remove(t.uid());
                learnt.accept(
                        new DrainNotice(t.uid(), t.startedAtMillis(), version,
                                t.state() == Endpoint.State.REMOVED ? DrainNotice.Kind.GONE
                                        : DrainNotice.Kind.DRAINS));
            } else if (on && news != null && news.binds(t.startedAtMillis(), version)) {
                held.putIfAbsent(t.uid(), new Held(news, now));
                out.add(as(t, news));
                continue;
            }
            out.add(t);
        }
        if (!first) {
            before.values()
                    .forEach(t -> learnt
                            .accept(new DrainNotice(t.uid(), t.startedAtMillis(), version,
                                    DrainNotice.Kind.GONE)));
        }
        for (Map.Entry<String, Held> e : List.copyOf(held.entrySet())) {
            Endpoint t = own.get(e.getKey());
            DrainNotice news = e.getValue().news();
            boolean outlived = now.since(e.getValue().since()).longerThan(lasts);
            if (t == null || !news.binds(t.startedAtMillis(), version) || outlived) {
                held.remove(e.getKey());
                if (t != null) {
                    out.removeIf(o -> o.uid().equals(t.uid()));
                    out.add(t);
                    Log.info("news-over", "worker", t.uid(), "own", version, "of", name);
                }
            }
        }
        return new EndpointList(list.version(), list.complete(), out);
    }

    private static Endpoint as(Endpoint t, DrainNotice news) {
        return new Endpoint(t.uid(), t.address(), t.zone(), t.kind(), t.cell(),
                news.kind() == DrainNotice.Kind.GONE
                        ? Endpoint.State.REMOVED
                        : Endpoint.State.DRAINING,
                t.weight(), t.startedAtMillis());
    }
}
