package rampshift.migrate;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import rampshift.settings.InvalidInputException;

/**
 * The counterpart of a configuration for the new shape: each client process with a dispatcher of its own,
 * workers
 * that report no load, lists that must be asked for, other zones. Decides alone; files are {@link MigrateCommand}'s.
 */
final class Migration {
    /** What was changed, one line each: key, old value, new value. */
    final List<String> changed = new ArrayList<>();
    /** What could not be carried over, and why. */
    final List<String> leftOut = new ArrayList<>();
    /** What was carried over as it was and may mean something else there. */
    final List<String> lookAt = new ArrayList<>();
    private static final Set<String> KNOWN =
            Set.of("name", "listen", "discovery", "seed", "limits", "known", "settings");
    /** The new configuration. */
    final Map<String, Object> result;
    private final TargetDeployment shape;

    /**
     * Of a configuration that Configuration reads. Throws a Malformed where neither it nor the shape tells
     * what the
     * new one must hold.
     */
    Migration(Map<String, Object> old, TargetDeployment shape) {
        this.shape = shape;
        result = copy(old);
        for (String key : old.keySet()) {
            if (!KNOWN.contains(key)) {
                result.remove(key);
                leftOut.add(key + ": not known to this program");
            }
        }
        set(result, "", "name", shape.name());
        set(result, "", "listen", shape.listen());
        set(result, "", "discovery", shape.discovery());
        known();
        Map<String, Object> settings = part(result, "settings");
        reports(settings);
        list(settings);
        zones(settings);
        probes(settings);
        alone(settings);
        types(settings);
    }

    private void reports(Map<String, Object> settings) {
        Map<String, Object> load = made(settings, "LoadInfo");
        set(load, "settings.LoadInfo.", "How", shape.reports());
        if (!shape.reports().equals("off")) {
            return;
        }
        Object names = load.get("Names");
        if (names instanceof List<?> list && !list.isEmpty()) {
            leftOut.add("settings.LoadInfo.Names " + show(names) + ": workers report no load there");
        }
        load.put("Names", new ArrayList<>());
        if ("live".equals(settings.get("WeightSource"))) {
            leftOut.add("settings.WeightSource live: weights that tell load are not listed there");
            set(settings, "settings.", "WeightSource", "nominal");
        }
        if (!Boolean.TRUE.equals(part(settings, "FamilyInfo").get("TellsStart"))) {
            lookAt.add("settings.FamilyInfo.TellsStart is not true: with neither reports nor start notes a"
                    + " dispatcher knows nothing of a worker but its own tasks");
        }
    }

    private void list(Map<String, Object> settings) {
        set(settings, "settings.", "Discovery", shape.list());
        Map<String, Object> rules = made(settings, "Rules");
        if (shape.askWithinMs() != null) {
            set(rules, "settings.Rules.", "AskWithinMs", shape.askWithinMs());
        } else if (shape.list().equals("on_request")
                && !(rules.get("AskWithinMs") instanceof BigDecimal within && within.signum() > 0)) {
            throw new InvalidInputException(
                    "settings.Rules.AskWithinMs is missing, and the list must be asked for there:"
                            + " the shape's ask_within_ms has to tell");
        }
    }

    private void zones(Map<String, Object> settings) {
        List<Object> zones = new ArrayList<>(shape.zones());
        set(settings, "settings.", "Zones", zones);
        set(settings, "settings.", "Zone", BigDecimal.valueOf(shape.zones().indexOf(shape.zone())));
        Object price = part(settings, "Costs").get("CrossZone");
        if (price instanceof BigDecimal figure && figure.signum() > 0) {
            lookAt.add("settings.Costs.CrossZone " + figure + ": one price between any two of "
                    + zones.size() + " zones");
        }
    }

    private void probes(Map<String, Object> settings) {
        Map<String, Object> limits = made(settings, "Limits");
        set(limits, "settings.Limits.", "MayProbe", shape.probes());
    }

    /** A place in a pool means nothing to a dispatcher that its client process has for itself. */
    private void alone(Map<String, Object> settings) {
        Object me = settings.remove("Me");
        if (me != null) {
            leftOut.add("settings.Me " + show(me) + ": there is no pool of dispatchers there");
        }
        set(settings, "settings.", "PeersTotal", shape.dispatchers());
        Object floor = part(settings, "Rules").get("ExtraFloor");
        if (floor != null) {
            lookAt.add("settings.Rules.ExtraFloor " + show(floor)
                    + ": each dispatcher has so many further assignments"
                    + " in a span, and their number is another");
        }
    }

    private void types(Map<String, Object> settings) {
        for (Object row : (List<?>) settings.get("TrafficTypes")) {
            if (row instanceof Map<?, ?> type && "keyed".equals(type.get("Effect"))
                    && !"all".equals(type.get("DedupScope"))) {
                lookAt.add(
                        "settings.TrafficTypes " + type.get("Name") + ": its repeats are dropped within one "
                                + (type.get("DedupScope") instanceof String scope ? scope : "cell")
                                + "; make sure that workers do so there before it is served");
            }
        }
        if (settings.get("Tenants") instanceof List<?> tenants && !tenants.isEmpty()) {
            lookAt.add(
                    "settings.Tenants: QuotaPerS counts all dispatchers together, and the fleet is another");
        }
    }

    /**
     * Workers are remembered under zones of the old house; those that are not in the new one would be
     * guesses.
     */
    private void known() {
        if (result.remove("known") instanceof Map<?, ?> list) {
            int workers = list.get("targets") instanceof List<?> targets ? targets.size() : 0;
            leftOut.add("known, " + workers + " workers: they are of the old house");
        }
    }

    private void set(Map<String, Object> in, String where, String key, Object value) {
        if (value == null) {
            return;
        }
        Object was = in.put(key, value);
        if (!Objects.equals(was, value) && !(was instanceof BigDecimal a && value instanceof BigDecimal b
                && a.compareTo(b) == 0)) {
            changed.add(where + key + ": " + show(was) + " -> " + show(value));
        }
    }

    private static String show(Object value) {
        return value == null ? "absent" : String.valueOf(value);
    }

    private static Map<String, Object> copy(Map<String, Object> of) {
        Map<String, Object> copy = new LinkedHashMap<>();
        of.forEach((key, value) -> copy.put(key, same(value)));
        return copy;
    }

    @SuppressWarnings("unchecked")
    private static Object same(Object value) {
        return value instanceof Map<?, ?> map ? copy((Map<String, Object>) map)
                : value instanceof List<?> list ? new ArrayList<>(list.stream().map(Migration::same).toList())
                        : value;
    }

    /** The part of that name, made where it is absent. */
    private static Map<String, Object> made(Map<String, Object> in, String name) {
        in.putIfAbsent(name, new LinkedHashMap<String, Object>());
        return part(in, name);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> part(Map<String, Object> in, String name) {
        Object part = in.get(name);
        if (part == null) {
            return Map.of();
        }
        if (part instanceof Map<?, ?>) {
            return (Map<String, Object>) part;
        }
        throw new InvalidInputException("setting " + name + " is not an object");
    }
}
