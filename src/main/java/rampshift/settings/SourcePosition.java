package rampshift.settings;

import java.io.Serializable;

/**
 * The position of a fault in a file.
 *
 * @param file the name of the file as given by the user
 * @param line the line, counted from 1; {@link #UNKNOWN} if the fault concerns the whole file
 * @param column the column, counted from 1; {@link #UNKNOWN} if only the line is known
 */
public record SourcePosition(String file, int line, int column) implements Serializable {

    /** The value of an unknown line or column. */
    public static final int UNKNOWN = 0;

    /** Returns the position of the file as a whole. */
    public static SourcePosition ofFile(String file) {
        return new SourcePosition(file, UNKNOWN, UNKNOWN);
    }

    /** Returns the position of a line of the file. */
    public static SourcePosition ofLine(String file, int line) {
        return new SourcePosition(file, line, UNKNOWN);
    }

    /** Returns the position in the form that precedes a message. */
    @Override
    public String toString() {
        if (line == UNKNOWN) {
            return file;
        }
        return column == UNKNOWN ? file + ":" + line : file + ", line " + line + ", column " + column;
    }
}
