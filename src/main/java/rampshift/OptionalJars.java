package rampshift;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.InvocationTargetException;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * What a plain `serve` never opens lies in jars beside this program's own: the fleet to try it on, and what
 * an
 * operator's file adds. In one jar its directory alone, which every start of `serve` reads, would have grown
 * by half.
 */
final class OptionalJars {
    static final Set<String> FLEET =
            Set.of("try", "fleet", "load", "experiment", "ladder", "judge", "profile",
                    "together");
    private static final String FLEET_ENTRY = "rampshift.testbed.Commands";
    private static final String FLEET_JAR = "rampshift-fleet.jar";
    private static final String OPERATOR_ENTRY = "rampshift.extensions.OperatorCommands";
    private static final String OPERATOR_JAR = "rampshift-operator.jar";

    private OptionalJars() {}

    /** A command of the fleet's: its exit status. */
    static int fleet(String[] args, PrintStream out, PrintStream err) throws IOException {
        try {
            return (int) load(FLEET_ENTRY, List.of(OPERATOR_JAR, FLEET_JAR))
                    .getMethod("run", String[].class, PrintStream.class, PrintStream.class)
                    .invoke(null, args, out, err);
        } catch (Missing e) {
            err.println("rampshift " + args[0] + ": " + e.getMessage());
            return 2;
        } catch (InvocationTargetException e) {
            if (e.getCause() instanceof RuntimeException fault) {
                throw fault;
            }
            throw new IOException(e.getCause());
        } catch (ReflectiveOperationException e) {
            err.println("rampshift " + args[0] + ": " + FLEET_JAR + " does not fit this program ("
                    + e.getMessage()
                    + "); build both anew");
            return 2;
        }
    }

    /** What the operator's file asks for, by a method of its entry; what that throws comes through. */
    static Object operator(String method, Object... arguments) throws IOException {
        try {
            Class<?> entry = load(OPERATOR_ENTRY, List.of(OPERATOR_JAR));
            for (var m : entry.getMethods()) {
                if (m.getName().equals(method)) {
                    return m.invoke(null, arguments);
                }
            }
            throw new IOException(
                    OPERATOR_JAR + " does not fit this program (no " + method + "); build both anew");
        } catch (Missing e) {
            throw new IOException(e.getMessage());
        } catch (InvocationTargetException e) {
            if (e.getCause() instanceof RuntimeException fault) {
                throw fault;
            }
            throw new IOException(e.getCause().getMessage());
        } catch (ReflectiveOperationException e) {
            throw new IOException(
                    OPERATOR_JAR + " does not fit this program (" + e.getMessage() + "); build both anew");
        }
    }

    private static final class Missing extends ReflectiveOperationException {
        private static final long serialVersionUID = 1L;

        Missing(String what) {
            super(what);
        }
    }

    private static Class<?> load(String entry, List<String> jars)
            throws IOException, ReflectiveOperationException {
        ClassLoader loader = Main.class.getClassLoader();
        Path here;
        try {
            here = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        } catch (URISyntaxException e) {
            throw new Missing("the program's own place is not to be found");
        }
        if (Files.isRegularFile(here)) {
            List<URL> all = new ArrayList<>();
            for (String jar : jars) {
                Path beside = here.resolveSibling(jar);
                if (!Files.exists(beside)) {
                    throw new Missing(beside + " is missing; the build makes it");
                }
                all.add(beside.toUri().toURL());
            }
            loader = new URLClassLoader(all.toArray(new URL[0]), loader);
            Thread.currentThread().setContextClassLoader(loader);
        }
        return Class.forName(entry, true, loader);
    }
}
