package rampshift.connections;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;

/**
 * Creates parsers for JSON of one kind that peers send. A {@link JsonFactory} keeps the names of the fields
 * that its parsers have read, to recognize them sooner, and a peer may send a new name each time: the factory
 * is replaced after a number of bytes, which limits what it can have kept. Thread-safe.
 */
public final class PeerJson {
    private static final int MAX_BYTES_PER_FACTORY = 256 * 1024;

    private JsonFactory factory = newFactory();
    private int bytesOfFactory;

    private static JsonFactory newFactory() {
        // Interned names are kept in a cache of all factories, whatever their length.
        return JsonFactory.builder().disable(JsonFactory.Feature.INTERN_FIELD_NAMES).build();
    }

    /**
     * Creates a parser of the first bytes of an array.
     *
     * @throws IOException if the bytes do not begin as JSON in a known encoding
     */
    public JsonParser parser(byte[] bytes, int length) throws IOException {
        return factoryFor(length).createParser(bytes, 0, length);
    }

    /**
     * Creates a parser of a text.
     *
     * @throws IOException never for a text, but declared by the library
     */
    public JsonParser parser(String text) throws IOException {
        return factoryFor(text.length()).createParser(text);
    }

    private synchronized JsonFactory factoryFor(int length) {
        bytesOfFactory += length;
        if (bytesOfFactory > MAX_BYTES_PER_FACTORY) {
            factory = newFactory();
            bytesOfFactory = length;
        }
        return factory;
    }
}
