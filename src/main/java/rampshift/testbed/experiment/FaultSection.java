package rampshift.testbed.experiment;

import java.util.Locale;

/**
 * A fault as a section of a fleet file.
 *
 * @param kind the kind of fault, by its name in fleet files
 * @param parameters further lines of the section, each with its line end
 * @param startMs when the fault begins, in milliseconds since the start of the load
 * @param lengthMs how long it lasts, in milliseconds
 */
record FaultSection(String kind, String parameters, double startMs, double lengthMs) {
    /** The section's text. */
    String toToml() {
        return "[[trouble]]\nwhat = \"" + kind + "\"\n" + parameters
                + String.format(Locale.ROOT, "at = \"%.0fms\"%nlength = \"%.0fms\"%n", startMs, lengthMs);
    }
}
