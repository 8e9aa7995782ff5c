package rampshift.settings;

import java.io.Serializable;

/**
 * Where in a file a fault stands.
 *
 * @param file its name as the user gave it
 * @param line counted from 1; {@link #UNKNOWN} where the fault is of the whole file
 * @param column counted from 1; {@link #UNKNOWN} where only the line is known
 */
public record SourcePosition(String file, int line, int column) implements Serializable {

    /** In place of a line or a column that is not known. */
    public static final int UNKNOWN = 0;

    /** The file as a whole. */
    public static SourcePosition ofFile(String file) {
        return new SourcePosition(file, UNKNOWN, UNKNOWN);
    }

    /** A line of the file. */
    public static SourcePosition ofLine(String file, int line) {
        return new SourcePosition(file, line, UNKNOWN);
    }

    /** In the form in which it precedes a message. */
    @Override
    public String toString() {
        if (line == UNKNOWN) {
            return file;
        }
        return column == UNKNOWN ? file + ":" + line : file + ", line " + line + ", column " + column;
    }
}
