package rampshift.clients;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Checks the lines of one request head, and holds its fields and the framing of the body that they define.
 */
public final class RequestHead {
    /** Maximum number of header fields and trailer fields of one request together. */
    static final int MAX_FIELDS = 64;
    /** The memory for the strings and the map entry of a field, beside their characters. */
    private static final int FIELD_OVERHEAD_BYTES = 160;
    private static final int MAX_LENGTH_DIGITS = 18;
    private static final int LAST_PRINTABLE_ASCII = '~';
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final long UNKNOWN_LENGTH = -1;
    /** Replaces the values of a repeated field. Can't be a real value, since no value contains line ends. */
    private static final String AMBIGUOUS = "\r\n";

    /** Field values by name in lower case. */
    private final Map<String, String> fields = new HashMap<>();
    private int fieldCount;
    private int fieldCharacters;
    private long contentLength = UNKNOWN_LENGTH;
    private boolean post;
    private boolean http10;
    private boolean chunked;
    private boolean continueExpected;

    /** Checks the request line: method, target and version. */
    void requestLine(String line) throws InvalidRequestException {
        int target = line.indexOf(' ') + 1;
        int beforeVersion = line.indexOf(' ', target);
        if (beforeVersion < 0 || line.charAt(target) != '/' || !isPrintableAscii(line)) {
            throw new InvalidRequestException(400, "invalid request line: expected method, path and version");
        }
        String version = line.substring(beforeVersion + 1);
        http10 = version.equals("HTTP/1.0");
        if (!http10 && !version.equals("HTTP/1.1")) {
            int status = version.matches("HTTP/[0-9.]+") ? 505 : 400;
            throw new InvalidRequestException(status, "unsupported protocol version");
        }
        post = line.startsWith("POST ");
    }

    private static boolean isPrintableAscii(String line) {
        return line.indexOf('\t') < 0 && line.chars().allMatch(c -> c <= LAST_PRINTABLE_ASCII);
    }

    /** Checks one header field. */
    void field(String line) throws InvalidRequestException {
        int colon = line.indexOf(':');
        if (colon <= 0 || !line.chars().limit(colon).allMatch(RequestHead::isTokenCharacter)) {
            throw new InvalidRequestException(400, "invalid header field name");
        }
        if (++fieldCount > MAX_FIELDS) {
            throw new InvalidRequestException(431, "more than " + MAX_FIELDS + " header fields");
        }
        String value = line.substring(colon + 1).trim();
        String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
        fields.merge(name, value, (first, second) -> AMBIGUOUS);
        fieldCharacters += line.length();
        switch (name) {
            case "content-length" -> contentLength(value);
            case "transfer-encoding" -> transferEncoding(value);
            case "expect" -> expect(value);
            default -> {
            }
        }
    }

    private static boolean isTokenCharacter(int character) {
        return isBetween('a', character, 'z') || isBetween('A', character, 'Z') || isDigit(character)
                || TOKEN_SYMBOLS.indexOf(character) >= 0;
    }

    private static boolean isDigit(int character) {
        return isBetween('0', character, '9');
    }

    private static boolean isBetween(char first, int character, char last) {
        return character >= first && character <= last;
    }

    private void contentLength(String value) throws InvalidRequestException {
        boolean isNumber = !value.isEmpty() && value.length() <= MAX_LENGTH_DIGITS
                && value.chars().allMatch(RequestHead::isDigit);
        if (contentLength != UNKNOWN_LENGTH || !isNumber) {
            throw new InvalidRequestException(400, "invalid or repeated Content-Length");
        }
        contentLength = Long.parseLong(value);
    }

    private void transferEncoding(String value) throws InvalidRequestException {
        if (chunked || http10) {
            throw new InvalidRequestException(400,
                    "repeated Transfer-Encoding, or Transfer-Encoding in HTTP/1.0");
        }
        if (!value.equalsIgnoreCase("chunked")) {
            throw new InvalidRequestException(501, "unsupported Transfer-Encoding: expected chunked");
        }
        chunked = true;
    }

    private void expect(String value) throws InvalidRequestException {
        if (!value.equalsIgnoreCase("100-continue")) {
            throw new InvalidRequestException(417, "unsupported Expect field: expected 100-continue");
        }
        continueExpected = !http10;
    }

    /** Checks, after the last field, that the fields define the length of the body unambiguously. */
    void end() throws InvalidRequestException {
        if (chunked && contentLength != UNKNOWN_LENGTH) {
            // Prevents request smuggling: parsers that use different fields disagree on the end of the body,
            // which may contain a second request.
            throw new InvalidRequestException(400, "both Content-Length and Transfer-Encoding are present");
        }
        if (contentLength > RequestReader.MAX_BODY_BYTES) {
            throw RequestReader.bodyTooLarge();
        }
        if (post && !chunked && contentLength == UNKNOWN_LENGTH) {
            throw new InvalidRequestException(411,
                    "POST without Content-Length or chunked Transfer-Encoding");
        }
    }

    /** Checks one trailer field. */
    void trailerField(String line) throws InvalidRequestException {
        if (++fieldCount > MAX_FIELDS || line.indexOf(':') <= 0) {
            throw new InvalidRequestException(400, "invalid trailer field, or too many fields");
        }
    }

    /** Returns whether the method is POST. */
    public boolean isPost() {
        return post;
    }

    /** Returns the single value of a header field; null if the field is absent or repeated. */
    public String value(String name) {
        String value = fields.get(name.toLowerCase(Locale.ROOT));
        return AMBIGUOUS.equals(value) ? null : value;
    }

    /**
     * Returns whether the version and the Connection field of the request keep the connection open after the
     * response.
     */
    boolean isPersistent() {
        String connection = fields.get("connection");
        return !http10 && (connection == null || connection.equalsIgnoreCase("keep-alive"));
    }

    /** Returns the memory that the fields take up, in bytes. */
    int heldBytes() {
        return fieldCharacters + fields.size() * FIELD_OVERHEAD_BYTES;
    }

    boolean isChunked() {
        return chunked;
    }

    /** Returns the length of a body that is not chunked, in bytes; 0 if there is no body. */
    long bodyLength() {
        return Math.max(0, contentLength);
    }

    /** Returns whether the client expects an interim response; true at most once. */
    boolean takeContinueExpected() {
        boolean expected = continueExpected;
        continueExpected = false;
        return expected;
    }
}
