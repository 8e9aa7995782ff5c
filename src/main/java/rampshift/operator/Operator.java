package rampshift.operator;

import java.io.IOException;
import java.nio.file.Path;
import rampshift.members.host.Ask;
import rampshift.members.host.Host;
import rampshift.serve.Beside;
import rampshift.settings.Malformed;
import rampshift.toml.Fault;

/** What the command line asks of an operator's file. Loaded by name, from a jar that a plain start never opens. */
public final class Operator {
    private Operator() {
    }

    /** What that file asks to run beside a dispatcher of that name; null where it asks for nothing. */
    public static Beside beside(String file, String name, String build) throws IOException {
        OperatorFile read = read(file);
        return read.members() == null ? null : new Host(read.members(), name, build);
    }

    /** Whom the dispatcher of that file knows, as text. */
    public static String members(String file) throws IOException {
        OperatorFile read = read(file);
        if (read.members() == null) {
            throw new Malformed(file + ": has no [members]");
        }
        return Ask.members(read.members().listen());
    }

    private static OperatorFile read(String file) {
        try {
            return OperatorFile.read(Path.of(file));
        } catch (Fault e) {
            throw new Malformed(e.getMessage());
        }
    }
}
