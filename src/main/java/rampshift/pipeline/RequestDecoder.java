package rampshift.pipeline;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import rampshift.clients.ClientRequest;
import rampshift.clients.InvalidRequestException;
import rampshift.clients.RequestHandler;
import rampshift.counters.Counters;
import rampshift.log.Log;
import rampshift.policy.Settings;
import rampshift.policy.TrafficType;
import rampshift.settings.HostSettings;
import rampshift.time.Moment;
import rampshift.time.Span;

/** Decodes the requests of clients into tasks, and refuses invalid requests with a 4xx status. */
public final class RequestDecoder implements RequestHandler {
    static final String REMAINING_TIME_FIELD = "X-Remaining";
    static final String TRANSACTION_FIELD = "X-Txn";
    private static final String TYPE_FIELD = "X-Lane";
    private static final String LABELS_FIELD = "X-Labels";
    private static final String IDEMPOTENCY_KEY_FIELD = "Idempotency-Key";
    private static final String TENANT_FIELD = "X-Org";
    private static final Pattern TRANSACTION_ID = Pattern.compile("[!-~]{1,200}");
    private static final double MAX_REMAINING_SECONDS = 24 * 3600;
    private static final int BAD_REQUEST = 400;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int CONFLICT = 409;

    private final Settings settings;
    private final Map<String, Integer> types;
    private final Map<String, Integer> tenants;
    private final Counters counters;
    private final TaskRegistry registry;
    private final AdmissionControl admission;
    private long lastTaskId;

    /**
     * Creates a decoder that passes tasks to an admission control. The host settings contain the names of the
     * traffic types and the tenants.
     */
    public RequestDecoder(Settings settings, HostSettings hostSettings, Counters counters,
            TaskRegistry registry, AdmissionControl admission) {
        this.settings = settings;
        this.counters = counters;
        this.registry = registry;
        this.admission = admission;
        types = indexes(hostSettings.types());
        tenants = indexes(hostSettings.tenants());
    }

    private static Map<String, Integer> indexes(List<String> names) {
        Map<String, Integer> result = new HashMap<>();
        for (int i = 0; i < names.size(); i++) {
            result.put(names.get(i), i);
        }
        return result;
    }

    @Override
    public void onRequest(ClientRequest request) {
        InFlightTask task;
        try {
            task = decode(request);
        } catch (InvalidRequestException e) {
            counters.add(Counters.Name.REQUESTS_REFUSED);
            Log.warn("request-refused", "status", e.status(), "why", e.getMessage());
            request.respond(e.status(), e.getMessage());
            return;
        }
        admission.admit(task);
    }

    private InFlightTask decode(ClientRequest request) throws InvalidRequestException {
        check(request.method().equals("POST"), METHOD_NOT_ALLOWED, "tasks must be sent by POST");
        String transactionId = transactionId(request);
        int type = type(request);
        TrafficType typeSettings = settings.types.get(type);
        double remainingSeconds = remainingSeconds(request);
        checkLabelsAreUnique(request);
        checkIdempotencyKey(request, typeSettings);
        TaskLabels labels = TaskLabels.parse(request.field(LABELS_FIELD));
        TaskDescription description = new TaskDescription(transactionId, type, tenant(request),
                typeSettings.effect() == TrafficType.Effect.NON_IDEMPOTENT, deduplicationWindow(typeSettings),
                labels.slots(), labels.memory());
        Moment deadline = request.receivedAt().plus(waitingTime(remainingSeconds, typeSettings));
        lastTaskId++;
        return new InFlightTask(lastTaskId, request, description, deadline);
    }

    private static void check(boolean valid, int status, String reason) throws InvalidRequestException {
        if (!valid) {
            throw new InvalidRequestException(status, reason);
        }
    }

    private String transactionId(ClientRequest request) throws InvalidRequestException {
        String id = request.field(TRANSACTION_FIELD);
        check(id != null && TRANSACTION_ID.matcher(id).matches(), BAD_REQUEST,
                "X-Txn is missing, repeated, too long, or contains invalid characters");
        check(!registry.isKnown(id), CONFLICT, "a task with this X-Txn is or was in progress");
        return id;
    }

    private int type(ClientRequest request) throws InvalidRequestException {
        String name = request.field(TYPE_FIELD);
        Integer type = name == null ? null : types.get(name);
        check(type != null, BAD_REQUEST, "X-Lane is missing or unknown");
        return type;
    }

    private static double remainingSeconds(ClientRequest request) throws InvalidRequestException {
        double seconds = TaskLabels.parseDecimal(request.field(REMAINING_TIME_FIELD));
        check(seconds > 0 && seconds <= MAX_REMAINING_SECONDS, BAD_REQUEST,
                "X-Remaining is missing or not a valid number of seconds above 0");
        return seconds;
    }

    private static void checkLabelsAreUnique(ClientRequest request) throws InvalidRequestException {
        boolean repeated = request.field(LABELS_FIELD) == null && request.hasField(LABELS_FIELD);
        check(!repeated, BAD_REQUEST, "X-Labels is repeated");
    }

    private static void checkIdempotencyKey(ClientRequest request, TrafficType type)
            throws InvalidRequestException {
        check(!requiresIdempotencyKey(type) || request.field(IDEMPOTENCY_KEY_FIELD) != null, BAD_REQUEST,
                "Idempotency-Key is missing or repeated");
    }

    private static boolean requiresIdempotencyKey(TrafficType type) {
        return type.effect() == TrafficType.Effect.KEYED;
    }

    private static Span deduplicationWindow(TrafficType type) {
        return requiresIdempotencyKey(type) ? type.deduplicationWindow() : null;
    }

    /**
     * Returns the index of the tenant. All tenants that are not configured share the index after the last
     * one, and have no quota.
     */
    private int tenant(ClientRequest request) {
        return tenants.getOrDefault(String.valueOf(request.field(TENANT_FIELD)), tenants.size());
    }

    /** Returns how long the client waits: the time that it states, up to the timeout of the traffic type. */
    private static Span waitingTime(double remainingSeconds, TrafficType type) {
        Span longest = type.timeout();
        boolean isLimited = remainingSeconds > longest.millis() / 1000;
        return isLimited ? longest : Span.ofMillis(remainingSeconds * 1000);
    }
}
