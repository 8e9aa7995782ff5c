package rampshift;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** The tests that the build passes over are those of KNOWN-RED.txt, and no others. */
class KnownRedTest {
    private static final int MAX_KNOWN_RED = 3;
    private static final String KNOWN_RED = "known-red";

    @Test
    void justTheListedTestsAreTagged() throws Exception {
        Path list = Path.of("KNOWN-RED.txt");
        List<String> lines = Files.exists(list) ? Files.readAllLines(list) : List.of();
        assertTrue(lines.size() <= MAX_KNOWN_RED, lines.toString());
        for (String line : lines) {
            String[] test = line.substring(0, line.indexOf(':')).split("#");
            Tag tag = Class.forName(test[0]).getDeclaredMethod(test[1]).getAnnotation(Tag.class);
            assertEquals(KNOWN_RED, tag.value(), line);
        }
        assertEquals(lines.size(), countTags(), "each of them stands in KNOWN-RED.txt");
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
