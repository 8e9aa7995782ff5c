package rampshift.pipeline;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import rampshift.clients.ClientRequest;
import rampshift.clients.RequestHandler;
import rampshift.counters.Counters;
import rampshift.log.Log;
import rampshift.policy.Settings;
import rampshift.policy.TrafficType;
import rampshift.settings.HostSettings;
import rampshift.time.Span;

/** First stage: makes a task of a client's call, or turns it down with a plain 4xx. */
public final class RequestDecoder implements RequestHandler {
    static final String REMAINING = "X-Remaining";
    private static final String TENANT = "X-Org";
    private static final Pattern ID = Pattern.compile("[!-~]{1,200}");
    private static final Pattern NUMBER = Pattern.compile("\\d{1,12}(\\.\\d{1,12})?");
    private static final double LONGEST_WAIT_S = 24 * 3600;
    private static final double MOST_FIGURE = 1e6;

    private final Settings settings;
    private final Map<String, Integer> types = new HashMap<>();
    private final Map<String, Integer> tenants = new HashMap<>();
    private final Counters counters;
    private final TaskRegistry book;
    private final AdmissionControl next;
    private long ids;

    public RequestDecoder(Settings settings, HostSettings names, Counters counters, TaskRegistry book,
            AdmissionControl next) {
        this.settings = settings;
        this.counters = counters;
        this.book = book;
        this.next = next;
        inOrder(names.types(), types);
        inOrder(names.tenants(), tenants);
    }

    private static void inOrder(List<String> names, Map<String, Integer> places) {
        for (int i = 0; i < names.size(); i++) {
            places.put(names.get(i), i);
        }
    }

    @Override
    public void onRequest(ClientRequest call) {
        if (!call.method().equals("POST")) {
            turnDown(call, 405, "tasks come by POST");
            return;
        }
        String txn = call.field("X-Txn");
        if (txn == null || !ID.matcher(txn).matches()) {
            turnDown(call, 400, "X-Txn is missing, there twice, too long, or holds blanks");
            return;
        }
        if (book.knows(txn)) {
            turnDown(call, 409, "a task with this X-Txn is in hand, or was");
            return;
        }
        String lane = call.field("X-Lane");
        Integer type = lane == null ? null : types.get(lane);
        if (type == null) {
            turnDown(call, 400, "X-Lane is missing or unknown");
            return;
        }
        double left = number(call.field(REMAINING));
        if (!(left > 0 && left <= LONGEST_WAIT_S)) {
            turnDown(call, 400, "X-Remaining is missing or not a sensible number of seconds above 0");
            return;
        }
        double slots = 1;
        double memory = 0;
        String labels = call.field("X-Labels");
        if (labels == null && call.hasField("X-Labels")) {
            turnDown(call, 400, "X-Labels stands there twice");
            return;
        }
        TrafficType row = settings.types.get(type);
        if (row.effect() == TrafficType.Effect.FINGERPRINTED
                && call.field("Idempotency-Key") == null) {
            turnDown(call, 400, "Idempotency-Key is missing or there twice");
            return;
        }
        if (labels != null) {
            for (String label : labels.split(",")) {
                int equals = label.indexOf('=');
                String name = equals < 0 ? "" : label.substring(0, equals).trim();
                double value = equals < 0 ? Double.NaN : number(label.substring(equals + 1).trim());
                boolean sensible = value >= 0 && value <= MOST_FIGURE;
                if (name.equals("slots") && sensible) {
                    slots = value;
                } else if (name.equals("memory") && sensible) {
                    memory = value;
                } else if (name.equals("slots") || name.equals("memory")) {
                    turnDown(call, 400, "X-Labels: " + name + " is not a number that makes sense");
                    return;
                }
            }
        }
        // No client waits longer than its traffic type's expiry, whatever it says.
        Span most = row.expiry();
        Span patience = left > most.millis() / 1000 ? most : Span.ofMillis(left * 1000);
        // Whoever the settings do not name stands after all that they do, and has no share to go beyond.
        int tenant = tenants.getOrDefault(String.valueOf(call.field(TENANT)), tenants.size());
        next.task(new InFlightTask(++ids, call, txn, type, tenant,
                row.effect() == TrafficType.Effect.SIDE_EFFECTING,
                row.effect() == TrafficType.Effect.FINGERPRINTED ? row.window() : null, slots, memory,
                call.receivedAt().plus(patience)));
    }

    /** Plain decimal digits; NaN for all else that Java would take for a number. */
    private static double number(String text) {
        return text != null && NUMBER.matcher(text).matches() ? Double.parseDouble(text) : Double.NaN;
    }

    private void turnDown(ClientRequest call, int status, String why) {
        counters.add(Counters.Name.REQUESTS_REFUSED);
        Log.warn("request-refused", "status", status, "why", why);
        call.respond(status, why);
    }
}
