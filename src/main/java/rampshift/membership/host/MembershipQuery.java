package rampshift.membership.host;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Asks a running dispatcher a question, over the address where the other members reach it. Blocks. */
public final class MembershipQuery {
    /** The question for the view of the members. */
    static final String MEMBERS = "?members";

    private static final int TIMEOUT_MS = 3000;

    private MembershipQuery() {}

    /**
     * The view that the dispatcher has of the members, as text for people.
     *
     * @throws IOException if no dispatcher answers there in time
     */
    public static String members(InetSocketAddress address) throws IOException {
        return ask(address, MEMBERS);
    }

    /**
     * The answer to a question, which must begin with a question mark.
     *
     * @throws IOException if no dispatcher answers there in time
     */
    public static String ask(InetSocketAddress address, String question) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(address, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            byte[] request = question.getBytes(StandardCharsets.UTF_8);
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(request.length);
            out.write(request);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            int length = in.readInt();
            if (length < 0 || length > StreamExchange.MAX_MESSAGE_BYTES) {
                throw new IOException("an answer that is none");
            }
            return new String(in.readNBytes(length), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IOException(
                    "no dispatcher answers at " + address.getHostString() + ":" + address.getPort()
                            + " (" + e.getMessage() + ")");
        }
    }
}
