package rampshift.extensions;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import rampshift.jobs.PeriodicJobSettings;
import rampshift.time.Span;
import rampshift.toml.TomlTable;

/** Reads a section {@code [[duty]]} of the operator's file. */
final class PeriodicJobSection {
    private static final Span MIN_INTERVAL = Span.ofMillis(1000);
    private static final Span DEFAULT_INTERVAL = Span.ofMillis(86_400_000);
    private static final Pattern TIME_OF_DAY = Pattern.compile("([01]\\d|2[0-3]):([0-5]\\d)");
    private static final long MINUTES_PER_HOUR = 60;
    private static final long MICROS_PER_MINUTE = 60_000_000L;
    private static final double MIN_TASKS_PER_SECOND = 0.001;
    private static final double MAX_TASKS_PER_SECOND = 10_000;
    private static final double DEFAULT_TASKS_PER_SECOND = 10;
    private static final int MAX_CATCH_UP_RUNS = 1000;
    private static final int MAX_OBJECTS = 10_000_000;

    private PeriodicJobSection() {}

    /** Reads the section; {@link LeaseExtension} adds the properties of the traffic type later. */
    static PeriodicJobSettings read(TomlTable section) {
        String name = section.name("name");
        String trafficType = section.name("type");
        Span interval = section.span("every", DEFAULT_INTERVAL);
        if (MIN_INTERVAL.longerThan(interval)) {
            section.fault("every", "is under a second");
        }
        long offsetMicros = offsetMicros(section);
        String predecessor = section.text("after", "");
        List<String> objects = objects(section);
        double tasksPerSecond =
                section.number("rate", MIN_TASKS_PER_SECOND, MAX_TASKS_PER_SECOND, DEFAULT_TASKS_PER_SECOND);
        int maxCatchUpRuns = section.integer("catch_up", 0, MAX_CATCH_UP_RUNS, 1);
        String target = section.text("target", "/{object}");
        if (!target.matches("/[!-~]*")) {
            section.fault("target", "is \"" + target + "\", expected a path that begins with a slash");
        }
        String body = section.text("body", "");
        section.rejectUnknownKeys();
        return new PeriodicJobSettings(name, trafficType, interval, offsetMicros, predecessor, objects,
                tasksPerSecond, maxCatchUpRuns, target, body, false, Span.ZERO);
    }

    private static long offsetMicros(TomlTable section) {
        String text = section.text("at", "00:00");
        Matcher time = TIME_OF_DAY.matcher(text);
        if (!time.matches()) {
            section.fault("at", "is \"" + text + "\", expected a time of the day in UTC, such as \"03:30\"");
            return 0;
        }
        long minutes = Long.parseLong(time.group(1)) * MINUTES_PER_HOUR + Long.parseLong(time.group(2));
        return minutes * MICROS_PER_MINUTE;
    }

    /** Returns a range of numbers, or the lines of a file, which must be identical on all dispatchers. */
    private static List<String> objects(TomlTable section) {
        String file = section.text("objects_from", "");
        if (file.isEmpty()) {
            int count = section.integer("objects", 1, MAX_OBJECTS, 1);
            return IntStream.range(0, count).mapToObj(String::valueOf).toList();
        }
        if (section.has("objects")) {
            section.fault("objects", "and objects_from exclude each other");
        }
        try {
            return objects(section, file);
        } catch (IOException e) {
            section.fault("objects_from", "names " + file + ", which cannot be read");
            return List.of();
        }
    }

    private static List<String> objects(TomlTable section, String file) throws IOException {
        List<String> lines =
                Files.readAllLines(Path.of(file)).stream().filter(line -> !line.isBlank()).toList();
        for (String line : lines) {
            if (!line.matches("[!-~]{1,500}")) {
                section.fault("objects_from",
                        "names " + file + ", which holds \"" + line + "\", expected lines without blanks");
                break;
            }
        }
        if (lines.isEmpty()) {
            section.fault("objects_from", "names " + file + ", which is empty");
        }
        return lines;
    }
}
