package rampshift.membership.host;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Asks a running dispatcher, over the address where its fellows reach it, whom it knows. */
public final class MembershipQuery {
    static final String MEMBERS = "?members";
    private static final int LONGEST_MS = 3000;

    private MembershipQuery() {}

    public static String members(InetSocketAddress at) throws IOException {
        return of(at, MEMBERS);
    }

    /** Any question that begins with a question mark. */
    public static String of(InetSocketAddress at, String text) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(at, LONGEST_MS);
            socket.setSoTimeout(LONGEST_MS);
            byte[] question = text.getBytes(StandardCharsets.UTF_8);
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(question.length);
            out.write(question);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            int length = in.readInt();
            if (length < 0 || length > StreamExchange.MAX_MESSAGE_BYTES) {
                throw new IOException("an answer that is none");
            }
            return new String(in.readNBytes(length), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IOException("no dispatcher answers at " + at.getHostString() + ":" + at.getPort() + " ("
                    + e.getMessage() + ")");
        }
    }
}
