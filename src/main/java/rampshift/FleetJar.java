package rampshift;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.reflect.InvocationTargetException;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;

/**
 * The commands that are there to try the dispatcher, not to run one. They and their libraries are in a jar beside
 * this program's own: in one jar its directory alone, which every start of `serve` reads, would have grown by half.
 */
final class FleetJar {
    static final Set<String> COMMANDS = Set.of("try", "fleet", "load", "experiment", "ladder",
            "judge", "profile");
    private static final String ENTRY = "rampshift.fleet.Commands";
    private static final String JAR = "rampshift-fleet.jar";

    private FleetJar() {
    }

    static int run(String[] args, PrintStream out, PrintStream err) throws IOException {
        try {
            Path here = Path.of(Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
            Path beside = here.resolveSibling(JAR);
            ClassLoader loader = Main.class.getClassLoader();
            if (Files.isRegularFile(here)) {
                if (!Files.exists(beside)) {
                    err.println("rampshift " + args[0] + ": " + beside + " is missing; the build makes it");
                    return 2;
                }
                loader = new URLClassLoader(new URL[] {beside.toUri().toURL()}, loader);
                Thread.currentThread().setContextClassLoader(loader);
            }
            return (int) Class.forName(ENTRY, true, loader)
                    .getMethod("run", String[].class, PrintStream.class, PrintStream.class)
                    .invoke(null, args, out, err);
        } catch (InvocationTargetException e) {
            if (e.getCause() instanceof RuntimeException fault) {
                throw fault;
            }
            throw new IOException(e.getCause());
        } catch (ReflectiveOperationException | URISyntaxException e) {
            err.println("rampshift " + args[0] + ": " + JAR + " does not fit this program (" + e.getMessage()
                    + "); build both anew");
            return 2;
        }
    }
}
