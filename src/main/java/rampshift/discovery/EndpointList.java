package rampshift.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import rampshift.log.Log;
import rampshift.settings.Configuration;
import rampshift.settings.InvalidInputException;

/** A list of workers, or what changed in it. Entries that make no sense are left out, with a log line. */
public record EndpointList(long version, boolean complete, List<Endpoint> endpoints) {

    private static final JsonFactory JSON = new JsonFactory();

    public static EndpointList read(byte[] bytes, int length) {
        try (JsonParser in = JSON.createParser(bytes, 0, length)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidInputException("a list that is no object");
            }
            long version = -1;
            boolean whole = false;
            List<Endpoint> targets = null;
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String field = in.currentName();
                JsonToken value = in.nextToken();
                if (field.equals("rev") && value == JsonToken.VALUE_NUMBER_INT) {
                    version = in.getLongValue();
                } else if (field.equals("all") && value.isBoolean()) {
                    whole = in.getBooleanValue();
                } else if (field.equals("targets") && value == JsonToken.START_ARRAY) {
                    targets = targets(in);
                } else {
                    in.skipChildren();
                }
            }
            if (version < 0 || targets == null) {
                throw new InvalidInputException("a list without rev or targets");
            }
            return new EndpointList(version, whole, targets);
        } catch (IOException e) {
            throw new InvalidInputException("a list that is no JSON");
        }
    }

    private static List<Endpoint> targets(JsonParser in) throws IOException {
        List<Endpoint> targets = new ArrayList<>();
        for (JsonToken t = in.nextToken(); t != JsonToken.END_ARRAY; t = in.nextToken()) {
            if (t != JsonToken.START_OBJECT) {
                in.skipChildren();
                continue;
            }
            Endpoint target = target(in);
            if (target != null) {
                targets.add(target);
            }
        }
        return targets;
    }

    private static Endpoint target(JsonParser in) throws IOException {
        String uid = null;
        String endpoint = null;
        String zone = "";
        String kind = "";
        String state = null;
        int cell = 0;
        double weight = 0;
        long bootMs = 0;
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String field = in.currentName();
            JsonToken value = in.nextToken();
            if (value == JsonToken.VALUE_STRING) {
                switch (field) {
                    case "uid" -> uid = in.getText();
                    case "endpoint" -> endpoint = in.getText();
                    case "az" -> zone = in.getText();
                    case "model" -> kind = in.getText();
                    case "state" -> state = in.getText();
                    default -> {
                    }
                }
            } else if (value.isNumeric()) {
                double number = in.getDoubleValue();
                switch (field) {
                    case "pod_group" -> cell = (int) number;
                    case "capacity_hint" -> weight = number >= 0 && number < 1e9 ? number : 0;
                    case "boot_ms" -> bootMs = number >= 0 && number < 1e15 ? (long) number : 0;
                    default -> {
                    }
                }
            } else {
                in.skipChildren();
            }
        }
        if (uid == null || uid.isEmpty() || uid.length() > 200) {
            Log.warn("list-entry", "uid", uid, "left_out", "it has no uid");
            return null;
        }
        Endpoint.State known = state(state);
        InetSocketAddress address = null;
        try {
            address = Configuration.address("endpoint", endpoint);
        } catch (InvalidInputException e) {
            if (known == Endpoint.State.READY) {
                Log.warn("list-entry", "uid", uid, "not_used", e.getMessage());
                known = Endpoint.State.DRAINING;   // it is not sent to, and what it has goes on
            }
        }
        return new Endpoint(uid, address, zone, kind, cell, known, weight, bootMs);
    }

    private static Endpoint.State state(String state) {
        if ("in_service".equals(state)) {
            return Endpoint.State.READY;
        }
        if ("terminated".equals(state)) {
            return Endpoint.State.REMOVED;
        }
        if (!"terminating".equals(state)) {
            Log.warn("list-entry", "unknown_state", state, "taken_as", "terminating");
        }
        return Endpoint.State.DRAINING;
    }
}
