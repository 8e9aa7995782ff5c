package rampshift.connections;

import java.util.ArrayList;
import java.util.List;

/** The status and the header fields of an answer. */
public final class ResponseHead {
    final int minor;
    private final int status;
    private final List<String> fields = new ArrayList<>();

    ResponseHead(int minor, int status) {
        this.minor = minor;
        this.status = status;
    }

    void add(String name, String value) {
        fields.add(name);
        fields.add(value);
    }

    public int status() {
        return status;
    }

    /** The first field with this name, or null. */
    public String field(String name) {
        for (int i = 0; i < fields.size(); i += 2) {
            if (fields.get(i).equalsIgnoreCase(name)) {
                return fields.get(i + 1);
            }
        }
        return null;
    }

    int count(String name) {
        int count = 0;
        for (int i = 0; i < fields.size(); i += 2) {
            count += fields.get(i).equalsIgnoreCase(name) ? 1 : 0;
        }
        return count;
    }
}
