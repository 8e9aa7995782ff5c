package rampshift.serve;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import rampshift.settings.Configuration;

/** The requests and responses of a {@link WarmUp}, and the configuration of its dispatcher. */
final class WarmUpMessages {
    private static final String CONFIGURATION_RESOURCE = "/rampshift/warm-up.json";
    private static final String TASK_ID_PREFIX = "warm-up";
    private static final int DISTINCT_PATHS = 7;
    private static final byte[] BODY = ascii("the whole task");
    private static final String RESULT = "abc ".repeat(100);
    private static final List<String> PROGRESS = List.of("\"started\"", "\"running\",\"share\":0.5",
            "\"done\",\"load\":{\"x0\":1,\"depth\":0,\"x1\":2.5},\"result\":\"" + RESULT + '"');

    private WarmUpMessages() {}

    /** Returns the configuration, which does not depend on the deployment. */
    static Configuration configuration() {
        try (var in = WarmUpMessages.class.getResourceAsStream(CONFIGURATION_RESOURCE)) {
            return Configuration.read(in.readAllBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the head of a client's request for the task with a number. */
    static byte[] requestHead(int number, String trafficType) {
        return ascii("POST /api/" + number % DISTINCT_PATHS + " HTTP/1.1\r\nHost: warm-up\r\nX-Txn: "
                + taskId(number)
                + "\r\nX-Lane: " + trafficType + "\r\nX-Remaining: 5.000\r\nX-Labels: slots=1,memory=0.5\r\n"
                + "Idempotency-Key: " + number + "\r\nContent-Length: " + BODY.length + "\r\n\r\n");
    }

    /** Returns the body of each request. */
    static byte[] requestBody() {
        return BODY;
    }

    /** Returns a worker's response to the task with a number: its progress and its result, in chunks. */
    static byte[] response(int number) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (String progress : PROGRESS) {
            String line = "{\"id\":\"" + taskId(number) + "\",\"state\":" + progress + "}\n";
            out.writeBytes(ascii(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n"));
        }
        out.writeBytes(ascii("0\r\n\r\n"));
        return out.toByteArray();
    }

    private static String taskId(int number) {
        return TASK_ID_PREFIX + number;
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
