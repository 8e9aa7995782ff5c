package rampshift.discovery;

import java.net.InetSocketAddress;
import java.util.Optional;
import rampshift.log.Log;
import rampshift.settings.Configuration;
import rampshift.settings.InvalidInputException;

/**
 * One entry of an endpoint list while it is parsed: collects the fields, and checks them once all are read.
 */
final class EndpointEntry {
    private static final String LOG_EVENT = "endpoint-entry";
    private static final int MAX_UID_LENGTH = 200;
    /**
     * Weights outside [0, WEIGHT_LIMIT) and start times outside [0, START_TIME_LIMIT_MILLIS) are treated as
     * absent.
     */
    private static final double WEIGHT_LIMIT = 1e9;
    private static final double START_TIME_LIMIT_MILLIS = 1e15;

    private String uid;
    private String address;
    private String zone = "";
    private String kind = "";
    private String state;
    private int cell;
    private double weight;
    private long startedAtMillis;

    void setText(String field, String value) {
        switch (field) {
            case "uid" -> uid = value;
            case "endpoint" -> address = value;
            case "az" -> zone = value;
            case "model" -> kind = value;
            case "state" -> state = value;
            default -> {
                // not used here
            }
        }
    }

    void setNumber(String field, double value) {
        switch (field) {
            case "pod_group" -> cell = (int) value;
            case "capacity_hint" -> weight = isWithin(value, WEIGHT_LIMIT) ? value : 0;
            case "boot_ms" -> startedAtMillis = isWithin(value, START_TIME_LIMIT_MILLIS) ? (long) value : 0;
            default -> {
                // not used here
            }
        }
    }

    private static boolean isWithin(double value, double limit) {
        return value >= 0 && value < limit;
    }

    /** Returns the worker; empty if the entry does not identify one. */
    Optional<Endpoint> toEndpoint() {
        if (uid == null || uid.isEmpty() || uid.length() > MAX_UID_LENGTH) {
            Log.warn(LOG_EVENT, "uid", uid, "left_out", "uid is missing, empty or too long");
            return Optional.empty();
        }
        Endpoint.State listedState = parseState();
        InetSocketAddress listedAddress = null;
        try {
            listedAddress = Configuration.address("endpoint", address);
        } catch (InvalidInputException e) {
            if (listedState == Endpoint.State.READY) {
                Log.warn(LOG_EVENT, "uid", uid, "not_used", e.getMessage());
                listedState = Endpoint.State.DRAINING; // no new tasks without an address; others continue
            }
        }
        return Optional.of(
                new Endpoint(uid, listedAddress, zone, kind, cell, listedState, weight, startedAtMillis));
    }

    private Endpoint.State parseState() {
        if ("in_service".equals(state)) {
            return Endpoint.State.READY;
        }
        if ("terminated".equals(state)) {
            return Endpoint.State.REMOVED;
        }
        if (!"terminating".equals(state)) {
            Log.warn(LOG_EVENT, "unknown_state", state, "taken_as", "terminating");
        }
        return Endpoint.State.DRAINING;
    }
}
