package rampshift.connections;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

/** Takes an HTTP/1.1 answer apart, byte by byte as it comes. One object serves one connection. */
final class ResponseReader {
    static final int LONGEST_LINE = 8192;
    static final int MOST_FIELDS = 64;

    /** What was wrong with an answer. */
    static final class Odd extends Exception {
        private static final long serialVersionUID = 1L;

        Odd(String what) {
            super(what, null, false, false);
        }
    }

    private enum At { STATUS, FIELDS, FIXED, SIZE, CHUNK, CHUNK_END, TRAILER, TO_THE_END, DONE }

    private At at = At.STATUS;
    private ResponseHead head;
    private int fields;
    private long left;
    private byte[] line = new byte[256];
    private int length;
    private boolean stopped;

    /** Nothing more is told, also of bytes that are already here. */
    void stop() {
        stopped = true;
    }

    void begin() {
        stopped = false;
        at = At.STATUS;
        head = null;
        fields = 0;
        length = 0;
    }

    boolean done() {
        return at == At.DONE;
    }

    /** Whether the other side leaves the connection open after this answer. */
    boolean lasting() {
        String told = head.field("Connection");
        return at == At.DONE && head.minor >= 1 && (told == null || !told.equalsIgnoreCase("close"));
    }

    /** The connection was ended by the other side; true if that ends the answer as it should. */
    boolean endOfStream() {
        return at == At.TO_THE_END;
    }

    /** Reads on; the result is how many bytes were used: fewer than given only at the answer's end. */
    int read(byte[] bytes, int from, int to, ExchangeListener heard) throws Odd {
        int i = from;
        while (i < to && at != At.DONE && !stopped) {
            switch (at) {
                case FIXED, CHUNK, TO_THE_END -> {
                    int piece = at == At.TO_THE_END ? to - i : (int) Math.min(left, to - i);
                    left -= piece;
                    if (left == 0 && at != At.TO_THE_END) {
                        at = at == At.FIXED ? At.DONE : At.CHUNK_END;
                    }
                    heard.onBody(bytes, i, piece);
                    i += piece;
                }
                default -> {
                    byte b = bytes[i++];
                    if (b != '\n') {
                        keep(b);
                    } else {
                        if (length > 0 && line[length - 1] == '\r') {
                            length--;
                        }
                        String text = new String(line, 0, length, StandardCharsets.ISO_8859_1);
                        length = 0;
                        line(text, heard);
                    }
                }
            }
        }
        return i - from;
    }

    private void keep(byte b) throws Odd {
        if (length == line.length) {
            if (length >= LONGEST_LINE) {
                throw new Odd("a line over " + LONGEST_LINE + " bytes");
            }
            line = Arrays.copyOf(line, length * 2);
        }
        line[length++] = b;
    }

    private void line(String text, ExchangeListener heard) throws Odd {
        switch (at) {
            case STATUS -> status(text);
            case FIELDS -> {
                if (text.isEmpty()) {
                    headEnds(heard);
                } else {
                    field(text);
                }
            }
            case SIZE -> size(text);
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new Odd("a chunk longer than it said");
                }
                at = At.SIZE;
            }
            case TRAILER -> {
                if (text.isEmpty()) {
                    at = At.DONE;
                } else if (++fields > MOST_FIELDS) {
                    throw new Odd("over " + MOST_FIELDS + " header fields");
                }
            }
            default -> throw new IllegalStateException("no line is read at " + at);
        }
    }

    private void status(String text) throws Odd {
        if (text.length() < 12 || !text.startsWith("HTTP/1.") || text.charAt(8) != ' ') {
            throw new Odd("no HTTP/1.1 status line");
        }
        try {
            int status = Integer.parseInt(text, 9, 12, 10);
            if (status < 100) {
                throw new Odd("no HTTP/1.1 status line");
            }
            head = new ResponseHead(text.charAt(7) - '0', status);
        } catch (NumberFormatException e) {
            throw new Odd("no HTTP/1.1 status line");
        }
        at = At.FIELDS;
    }

    private void field(String text) throws Odd {
        int colon = text.indexOf(':');
        if (colon <= 0 || text.charAt(0) == ' ' || text.charAt(0) == '\t') {
            throw new Odd("a header field without a name");
        }
        if (++fields > MOST_FIELDS) {
            throw new Odd("over " + MOST_FIELDS + " header fields");
        }
        head.add(text.substring(0, colon).trim(), text.substring(colon + 1).trim());
    }

    private void headEnds(ExchangeListener heard) throws Odd {
        int status = head.status();
        if (status < 200) {
            if (status == 101) {
                throw new Odd("a change of protocols that nobody asked for");
            }
            if (++fields > MOST_FIELDS) {
                throw new Odd("over " + MOST_FIELDS + " interim answers and header fields");
            }
            at = At.STATUS;
            head = null;
            return;
        }
        String coding = head.field("Transfer-Encoding");
        String size = head.field("Content-Length");
        if (status == 204 || status == 304) {
            at = At.DONE;
        } else if (coding != null) {
            if (!coding.toLowerCase(Locale.ROOT).equals("chunked") || size != null) {
                throw new Odd("a body of unknown coding or of two lengths");
            }
            at = At.SIZE;
        } else if (size != null) {
            if (head.count("Content-Length") > 1) {
                throw new Odd("a body of two lengths");
            }
            left = number(size, 10);
            at = left == 0 ? At.DONE : At.FIXED;
        } else {
            at = At.TO_THE_END;
        }
        heard.onHead(head);
    }

    private void size(String text) throws Odd {
        int end = text.indexOf(';');
        left = number((end < 0 ? text : text.substring(0, end)).trim(), 16);
        at = left == 0 ? At.TRAILER : At.CHUNK;
    }

    private static long number(String text, int radix) throws Odd {
        try {
            if (!text.isEmpty() && text.length() < 16 && Character.digit(text.charAt(0), radix) >= 0) {
                return Long.parseLong(text, radix);
            }
        } catch (NumberFormatException e) {
            // Said below.
        }
        throw new Odd("a length that is no number");
    }
}
