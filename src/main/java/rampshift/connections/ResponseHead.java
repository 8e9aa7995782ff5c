package rampshift.connections;

import java.util.ArrayList;
import java.util.List;

/** The status and the header fields of a response. */
public final class ResponseHead {
    /** The memory for the two strings of a field, beside their characters. */
    private static final int FIELD_OVERHEAD_BYTES = 128;

    private final int minorVersion;
    private final int status;
    private final List<HeaderField> fields = new ArrayList<>();
    private int length;

    private record HeaderField(String name, String value) {
    }

    /**
     * Creates a head without fields.
     *
     * @param minorVersion the minor version of HTTP/1, 0 to 9 if the status line is valid
     * @param status the status code, 100 to 999
     */
    ResponseHead(int minorVersion, int status) {
        this.minorVersion = minorVersion;
        this.status = status;
    }

    void add(String name, String value) {
        fields.add(new HeaderField(name, value));
        length += name.length() + value.length();
    }

    /** Returns the number of characters of all fields. */
    int length() {
        return length;
    }

    /** Returns the memory that the fields take up, in bytes. */
    int heldBytes() {
        return length + fields.size() * FIELD_OVERHEAD_BYTES;
    }

    int minorVersion() {
        return minorVersion;
    }

    /** Returns the status code, 100 to 999. */
    public int status() {
        return status;
    }

    /**
     * Returns the value of a header field.
     *
     * @param name the name of the field; case is ignored
     * @return the value of the first field with this name; null if there is none
     */
    public String field(String name) {
        for (HeaderField field : fields) {
            if (field.name.equalsIgnoreCase(name)) {
                return field.value;
            }
        }
        return null;
    }

    /** Returns the number of fields with this name; case is ignored. */
    int fieldCount(String name) {
        int count = 0;
        for (HeaderField field : fields) {
            if (field.name.equalsIgnoreCase(name)) {
                count++;
            }
        }
        return count;
    }
}
