package rampshift.testbed.experiment;

import java.util.Locale;

/**
 * A fault as a section of a fleet file.
 *
 * @param kind the kind of fault, as named in fleet files
 * @param parameters further lines of the section, each with a line terminator
 * @param startMs the start of the fault, in milliseconds since the start of the load
 * @param lengthMs the length of the fault, in milliseconds
 */
record FaultSection(String kind, String parameters, double startMs, double lengthMs) {
    /** Returns the text of the section. */
    String toToml() {
        return "[[trouble]]\nwhat = \"" + kind + "\"\n" + parameters
                + String.format(Locale.ROOT, "at = \"%.0fms\"%nlength = \"%.0fms\"%n", startMs, lengthMs);
    }
}
