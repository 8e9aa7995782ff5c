package rampshift.connections;

import java.util.ArrayList;
import java.util.List;

/** The status and the header fields of a response. */
public final class ResponseHead {
    private final int minorVersion;
    private final int status;
    private final List<HeaderField> fields = new ArrayList<>();

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
