package rampshift.toml;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The line of each key in a TOML text, for error messages: the parser checks the grammar but keeps no lines.
 * Positions inside an inline table or a multi-line array have the line of the enclosing key.
 */
final class KeyPositions {
    private static final Pattern HEADER = Pattern.compile("\\s*(\\[\\[?)\\s*([^\\]]+?)\\s*\\]\\]?\\s*(#.*)?");
    private static final Pattern KEY = Pattern
            .compile("\\s*([A-Za-z0-9_\"'.-]+(?:\\s*\\.\\s*[A-Za-z0-9_\"'-]+)*)\\s*=.*");
    private static final String ARRAY_OF_TABLES = "[[";

    private final Map<String, Integer> lines = new HashMap<>();
    private final Map<String, Integer> tableCounts = new HashMap<>();

    KeyPositions(String text) {
        String table = "";
        int openArrays = 0;
        int number = 0;
        for (String line : text.split("\n", -1)) {
            number++;
            if (openArrays == 0) {
                table = readLine(line, number, table);
            }
            openArrays += bracketBalance(line);
        }
    }

    /** Records the header or key in the line; returns the path of the table that the next line belongs to. */
    private String readLine(String line, int number, String table) {
        Matcher header = HEADER.matcher(line);
        if (header.matches()) {
            return readHeader(header, number);
        }
        Matcher key = KEY.matcher(line);
        if (key.matches()) {
            String path = unquoted(key.group(1));
            lines.putIfAbsent(table.isEmpty() ? path : table + "." + path, number);
        }
        return table;
    }

    private String readHeader(Matcher header, int number) {
        String table = unquoted(header.group(2));
        if (header.group(1).equals(ARRAY_OF_TABLES)) {
            int index = tableCounts.merge(table, 1, Integer::sum) - 1;
            lines.putIfAbsent(table, number);
            table = table + "[" + index + "]";
        }
        lines.putIfAbsent(table, number);
        return table;
    }

    /** Returns the opening minus the closing brackets in a line, outside of strings and comments. */
    private static int bracketBalance(String line) {
        int opened = 0;
        char quote = 0;
        for (int i = 0; i < line.length(); i++) {
            char character = line.charAt(i);
            if (quote != 0) {
                quote = character == quote ? 0 : quote;
            } else if (character == '"' || character == '\'') {
                quote = character;
            } else if (character == '#') {
                break;
            } else if (character == '[') {
                opened++;
            } else if (character == ']') {
                opened--;
            }
        }
        return opened;
    }

    private static String unquoted(String key) {
        return key.replace("\"", "").replace("'", "").replaceAll("\\s*\\.\\s*", ".");
    }

    /**
     * Returns the line of a path such as {@code type[1].due}, or else that of its nearest enclosing table, or
     * else 1.
     */
    int line(String path) {
        String enclosing = path;
        while (!enclosing.isEmpty()) {
            Integer line = lines.get(enclosing);
            if (line != null) {
                return line;
            }
            int end = Math.max(enclosing.lastIndexOf('.'), enclosing.lastIndexOf('['));
            enclosing = end < 0 ? "" : enclosing.substring(0, end);
        }
        return 1;
    }
}
