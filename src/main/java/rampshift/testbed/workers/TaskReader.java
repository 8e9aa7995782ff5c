package rampshift.testbed.workers;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import rampshift.testbed.plan.FleetPlan;
import rampshift.testbed.wire.Message;
import rampshift.time.Span;

/**
 * Parses tasks from the requests of dispatchers. The body of a request begins with
 * {@code work=MICROS,SLOTS,MEMORY;}; the rest is padding.
 */
final class TaskReader {
    private static final String WORK_PREFIX = "work=";
    private static final char WORK_END = ';';
    private static final String NO_KEY = "-";

    private final Map<String, Integer> typeIndexes = new HashMap<>();

    TaskReader(List<FleetPlan.TrafficType> types) {
        for (int i = 0; i < types.size(); i++) {
            typeIndexes.put(types.get(i).name(), i);
        }
    }

    /** Returns the task of a request; empty if the request is not a valid task. */
    Optional<Task> read(Message request) {
        String transactionId = request.field("X-Txn");
        Integer type = typeIndexes.get(request.field("X-Lane"));
        String body = request.text();
        int end = body.indexOf(WORK_END);
        if (transactionId == null || type == null || !body.startsWith(WORK_PREFIX) || end < 0) {
            return Optional.empty();
        }
        String key = request.field("Idempotency-Key");
        String[] amounts = body.substring(WORK_PREFIX.length(), end).split(",");
        try {
            Span work = new Span(Long.parseLong(amounts[0]));
            double slots = Double.parseDouble(amounts[1]);
            double memory = Double.parseDouble(amounts[2]);
            return Optional.of(new Task(transactionId, key == null ? NO_KEY : key, type, work, slots, memory,
                    readLeaseToken(request)));
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
            return Optional.empty();
        }
    }

    /** Returns the lease and its token, which are separated by a space; null if the request has none. */
    private static LeaseToken readLeaseToken(Message request) {
        String token = request.field("Rampshift-Token");
        if (token == null) {
            return null;
        }
        String[] parts = token.split(" ");
        return new LeaseToken(parts[0], Long.parseLong(parts[1]));
    }
}
