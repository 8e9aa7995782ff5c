package rampshift;

import java.io.IOException;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An emulated discovery agent: responds to polls with the next version of a list as soon as there is one. */
public final class TestDiscovery {
    private static final Pattern INDEX = Pattern.compile("index=(\\d+)&");
    private static final Pattern WAIT = Pattern.compile("wait=(\\d+)");
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long POLL_MS = 2;

    private TestDiscovery() {}

    /**
     * Starts the agent. It responds to a poll without an index with the last version at once; to a poll with
     * an index with the version after it, or, after the wait of the poll, with an empty change.
     *
     * @param versions endpoint lists with REV in place of their version; may grow while the agent runs
     */
    public static TestServer start(List<String> versions) throws IOException {
        return new TestServer((message, connection) -> {
            String body = awaitBody(message.startLine(), versions);
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        });
    }

    private static String awaitBody(String requestLine, List<String> versions) throws InterruptedException {
        if (!requestLine.contains("index=")) {
            return withVersion(versions.get(versions.size() - 1), versions.size());
        }
        int known = (int) parameter(INDEX, requestLine);
        long deadlineNanos = System.nanoTime() + NANOS_PER_MILLI * parameter(WAIT, requestLine);
        while (versions.size() <= known && System.nanoTime() < deadlineNanos) {
            Thread.sleep(POLL_MS);
        }
        return versions.size() > known ? withVersion(versions.get(known), known + 1)
                : withVersion(TestPeers.list(false), known);
    }

    private static String withVersion(String list, int version) {
        return list.replace("REV", String.valueOf(version));
    }

    private static long parameter(Pattern pattern, String requestLine) {
        Matcher matcher = pattern.matcher(requestLine);
        if (!matcher.find()) {
            throw new IllegalArgumentException(requestLine + " lacks " + pattern);
        }
        return Long.parseLong(matcher.group(1));
    }
}
