package rampshift;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Loads code that a plain {@code serve} does not need from separate jars in the folder of this program's jar:
 * the testbed, and the commands and extensions of an operator's file. In a single jar, the central directory,
 * which each start of {@code serve} reads, would be larger by half.
 */
final class OptionalJars {
    /** The commands of the testbed. */
    static final Set<String> FLEET =
            Set.of("try", "fleet", "load", "experiment", "ladder", "judge", "profile",
                    "together");
    private static final String FLEET_ENTRY = "rampshift.testbed.Commands";
    private static final String FLEET_JAR = "rampshift-fleet.jar";
    private static final String OPERATOR_ENTRY = "rampshift.extensions.OperatorCommands";
    private static final String OPERATOR_JAR = "rampshift-operator.jar";

    private OptionalJars() {}

    /** Runs a command of the testbed, and returns its exit status. */
    static int fleet(String[] args, PrintStream out, PrintStream err) throws IOException {
        try {
            return (int) load(FLEET_ENTRY, List.of(OPERATOR_JAR, FLEET_JAR))
                    .getMethod("run", String[].class, PrintStream.class, PrintStream.class)
                    .invoke(null, args, out, err);
        } catch (MissingJarException e) {
            return invalid(args[0], e.getMessage(), err);
        } catch (InvocationTargetException e) {
            throw unchecked(e, new IOException(e.getCause()));
        } catch (ReflectiveOperationException e) {
            return invalid(args[0], mismatch(FLEET_JAR, e.getMessage()), err);
        }
    }

    private static int invalid(String command, String message, PrintStream err) {
        err.println("rampshift " + command + ": " + message);
        return ExitStatus.INVALID_INPUT;
    }

    /**
     * Calls a method of the operator commands by its name; unchecked exceptions of the method are rethrown.
     */
    static Object operator(String method, Object... arguments) throws IOException {
        try {
            return method(load(OPERATOR_ENTRY, List.of(OPERATOR_JAR)), method).invoke(null, arguments);
        } catch (MissingJarException e) {
            throw new IOException(e.getMessage());
        } catch (InvocationTargetException e) {
            throw unchecked(e, new IOException(e.getCause().getMessage()));
        } catch (ReflectiveOperationException e) {
            throw new IOException(mismatch(OPERATOR_JAR, e.getMessage()));
        }
    }

    private static Method method(Class<?> entry, String name) throws NoSuchMethodException {
        for (Method method : entry.getMethods()) {
            if (method.getName().equals(name)) {
                return method;
            }
        }
        throw new NoSuchMethodException("no " + name);
    }

    private static String mismatch(String jar, String reason) {
        return jar + " does not match this program (" + reason + "); rebuild both";
    }

    /**
     * Throws the cause if it is unchecked, and otherwise returns the exception that the caller is to throw.
     */
    private static IOException unchecked(InvocationTargetException thrown, IOException otherwise) {
        if (thrown.getCause() instanceof RuntimeException cause) {
            throw cause;
        }
        return otherwise;
    }

    private static final class MissingJarException extends ReflectiveOperationException {
        private static final long serialVersionUID = 1L;

        MissingJarException(String message) {
            super(message);
        }
    }

    private static Class<?> load(String entry, List<String> jars)
            throws IOException, ReflectiveOperationException {
        ClassLoader loader = Main.class.getClassLoader();
        Path program = programFile();
        if (Files.isRegularFile(program)) {
            loader = new URLClassLoader(urls(program, jars), loader);
            Thread.currentThread().setContextClassLoader(loader);
        }
        return Class.forName(entry, true, loader);
    }

    /** Returns this program's jar, or the folder of its classes if it is not packaged. */
    private static Path programFile() throws MissingJarException {
        try {
            return Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        } catch (URISyntaxException e) {
            throw new MissingJarException("cannot determine the location of the program");
        }
    }

    private static URL[] urls(Path program, List<String> jars) throws IOException, MissingJarException {
        List<URL> urls = new ArrayList<>();
        for (String name : jars) {
            Path jar = program.resolveSibling(name);
            if (!Files.exists(jar)) {
                throw new MissingJarException(jar + " is missing; run the build to create it");
            }
            urls.add(jar.toUri().toURL());
        }
        return urls.toArray(new URL[0]);
    }
}
