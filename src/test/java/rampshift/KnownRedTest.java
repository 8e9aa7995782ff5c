package rampshift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Tests that the build skips exactly the tests that are listed in KNOWN-RED.txt. */
class KnownRedTest {
    /** The test, the command that runs it, the observed failure, and the issue. */
    private static final Pattern ENTRY = Pattern.compile("([\\w.]+)#(\\w+): mvn [^;]+; .+; issue \\d+");
    private static final String KNOWN_RED = "known-red";

    @Test
    void onlyTheListedTestsAreTagged() throws Exception {
        Path list = Path.of("KNOWN-RED.txt");
        List<String> lines = Files.exists(list) ? Files.readAllLines(list) : List.of();
        for (String line : lines) {
            Matcher entry = ENTRY.matcher(line);
            assertTrue(entry.matches(), "expected test, command, observed failure and issue: " + line);
            assertEquals(KNOWN_RED,
                    testMethod(entry.group(1), entry.group(2)).getAnnotation(Tag.class).value(),
                    line);
        }
        assertEquals(lines.size(), countTags(), "each tagged test is listed in KNOWN-RED.txt");
    }

    private static Method testMethod(String className, String name) throws ClassNotFoundException {
        return Arrays.stream(Class.forName(className).getDeclaredMethods())
                .filter(method -> method.getName().equals(name)).findFirst().orElseThrow();
    }

    private static long countTags() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src/test/java"))) {
            return files.filter(file -> file.toString().endsWith(".java")).flatMap(KnownRedTest::lines)
                    .filter(line -> line.contains("@Tag(\"" + KNOWN_RED + "\")")).count();
        }
    }

    private static Stream<String> lines(Path file) {
        try {
            return Files.readAllLines(file).stream();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
