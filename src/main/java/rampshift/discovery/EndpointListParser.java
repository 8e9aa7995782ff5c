package rampshift.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import rampshift.connections.PeerJson;
import rampshift.settings.InvalidInputException;

/** Parses endpoint lists in the JSON format of the discovery agent. Unknown fields are skipped. */
public final class EndpointListParser {
    private static final PeerJson JSON = new PeerJson();
    private static final String VERSION_FIELD = "rev";
    private static final String COMPLETE_FIELD = "all";
    private static final String ENDPOINTS_FIELD = "targets";
    private static final long NO_VERSION = -1;

    private EndpointListParser() {}

    /**
     * Parses a list. Unusable entries are left out and logged.
     *
     * @param bytes a buffer that holds the list from index 0 on
     * @param length the length of the list in bytes
     * @return the list
     * @throws InvalidInputException if the bytes are not JSON, or lack the version or the endpoints
     */
    public static EndpointList parse(byte[] bytes, int length) {
        try (JsonParser parser = JSON.parser(bytes, length)) {
            return parseList(parser);
        } catch (IOException e) {
            throw new InvalidInputException("endpoint list is not valid JSON");
        }
    }

    private static EndpointList parseList(JsonParser parser) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            throw new InvalidInputException("endpoint list is not a JSON object");
        }
        long version = NO_VERSION;
        boolean complete = false;
        List<Endpoint> endpoints = null;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String field = parser.currentName();
            JsonToken value = parser.nextToken();
            if (field.equals(VERSION_FIELD) && value == JsonToken.VALUE_NUMBER_INT) {
                version = parser.getLongValue();
            } else if (field.equals(COMPLETE_FIELD) && value.isBoolean()) {
                complete = parser.getBooleanValue();
            } else if (field.equals(ENDPOINTS_FIELD) && value == JsonToken.START_ARRAY) {
                endpoints = parseEndpoints(parser);
            } else {
                parser.skipChildren();
            }
        }
        if (version < 0 || endpoints == null) {
            throw new InvalidInputException(
                    "endpoint list lacks " + VERSION_FIELD + " or " + ENDPOINTS_FIELD);
        }
        return new EndpointList(version, complete, endpoints);
    }

    private static List<Endpoint> parseEndpoints(JsonParser parser) throws IOException {
        List<Endpoint> endpoints = new ArrayList<>();
        JsonToken token = parser.nextToken();
        while (token != JsonToken.END_ARRAY) {
            if (token == JsonToken.START_OBJECT) {
                parseEntry(parser).toEndpoint().ifPresent(endpoints::add);
            } else {
                parser.skipChildren();
            }
            token = parser.nextToken();
        }
        return endpoints;
    }

    private static EndpointEntry parseEntry(JsonParser parser) throws IOException {
        EndpointEntry entry = new EndpointEntry();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String field = parser.currentName();
            JsonToken value = parser.nextToken();
            if (value == JsonToken.VALUE_STRING) {
                entry.setText(field, parser.getText());
            } else if (value.isNumeric()) {
                entry.setNumber(field, parser.getDoubleValue());
            } else {
                parser.skipChildren();
            }
        }
        return entry;
    }
}
