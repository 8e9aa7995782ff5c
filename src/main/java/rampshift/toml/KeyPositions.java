package rampshift.toml;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Where in a TOML text each key stands. The parser checks the grammar but forgets the lines; a fault is of no
 * use without them. Tables in one line and arrays over several lines count as the key that they belong to.
 */
final class KeyPositions {
    private static final Pattern HEADER = Pattern.compile("\\s*(\\[\\[?)\\s*([^\\]]+?)\\s*\\]\\]?\\s*(#.*)?");
    private static final Pattern KEY =
            Pattern.compile("\\s*([A-Za-z0-9_\"'.-]+(?:\\s*\\.\\s*[A-Za-z0-9_\"'-]+)*)\\s*=.*");

    private final Map<String, Integer> lines = new HashMap<>();

    KeyPositions(String text) {
        Map<String, Integer> counts = new HashMap<>();
        String table = "";
        int depth = 0;
        int number = 0;
        for (String line : text.split("\n", -1)) {
            number++;
            Matcher header = HEADER.matcher(line);
            Matcher key = KEY.matcher(line);
            if (depth == 0 && header.matches()) {
                table = plain(header.group(2));
                if (header.group(1).length() == 2) {
                    int place = counts.merge(table, 1, Integer::sum) - 1;
                    lines.putIfAbsent(table, number);
                    table = table + "[" + place + "]";
                }
                lines.putIfAbsent(table, number);
            } else if (depth == 0 && key.matches()) {
                String path = plain(key.group(1));
                lines.putIfAbsent(table.isEmpty() ? path : table + "." + path, number);
            }
            depth += open(line);
        }
    }

    /** Arrays opened less arrays closed in a line, outside of strings and comments. */
    private static int open(String line) {
        int open = 0;
        char within = 0;
        for (int i = 0; i < line.length(); i++) {
            char c = line.charAt(i);
            if (within != 0) {
                within = c == within ? 0 : within;
            } else if (c == '"' || c == '\'') {
                within = c;
            } else if (c == '#') {
                break;
            } else if (c == '[') {
                open++;
            } else if (c == ']') {
                open--;
            }
        }
        return open;
    }

    private static String plain(String key) {
        return key.replace("\"", "").replace("'", "").replaceAll("\\s*\\.\\s*", ".");
    }

    /**
     * The line of a path such as {@code type[1].due}, or of the nearest thing around it; 1 where there is
     * none.
     */
    int of(String path) {
        for (String p = path; !p.isEmpty();) {
            Integer line = lines.get(p);
            if (line != null) {
                return line;
            }
            int cut = Math.max(p.lastIndexOf('.'), p.lastIndexOf('['));
            p = cut < 0 ? "" : p.substring(0, cut);
        }
        return 1;
    }
}
