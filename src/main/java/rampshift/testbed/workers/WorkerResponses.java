package rampshift.testbed.workers;

import java.nio.charset.StandardCharsets;

/** The HTTP/1.1 responses of workers, as text. */
final class WorkerResponses {
    /** The head of a response to a task; chunks follow. */
    static final String CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    /** The end of a response in chunks. */
    static final String LAST_CHUNK = "0\r\n\r\n";
    static final String BAD_REQUEST = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
    static final String NOT_FOUND = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    static final String SERVER_ERROR = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

    private WorkerResponses() {}

    /** Returns a response with a body of ASCII characters. */
    static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /**
     * Returns the response to a task that is rejected for lack of capacity.
     *
     * @param report the load report; empty for none
     */
    static String rejected(String report) {
        String reportLine = report.isEmpty() ? "" : "X-Pressure: " + report + "\r\n";
        return "HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\n" + reportLine
                + "Content-Length: 0\r\n\r\n";
    }

    /** Returns a chunk of a response. */
    static String chunk(String text) {
        int length = text.getBytes(StandardCharsets.UTF_8).length;
        return Integer.toHexString(length) + "\r\n" + text + "\r\n";
    }
}
