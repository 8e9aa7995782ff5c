package rampshift.membership.host;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Queries a running dispatcher at its member address. Blocks. */
public final class MembershipQuery {
    /** The query for the view of the members. */
    static final String MEMBERS = "?members";

    private static final int TIMEOUT_MS = 3000;

    private MembershipQuery() {}

    /**
     * Returns the dispatcher's view of the members as human-readable text.
     *
     * @throws IOException if no dispatcher answers there in time
     */
    public static String members(InetSocketAddress address) throws IOException {
        return ask(address, MEMBERS);
    }

    /**
     * Returns the answer to a query, which must begin with a question mark.
     *
     * @throws IOException if no dispatcher answers there in time
     */
    public static String ask(InetSocketAddress address, String query) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(address, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            byte[] request = query.getBytes(StandardCharsets.UTF_8);
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(request.length);
            out.write(request);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            int length = in.readInt();
            if (length < 0 || length > StreamExchange.MAX_MESSAGE_BYTES) {
                throw new IOException("invalid length of the answer");
            }
            return new String(in.readNBytes(length), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IOException(
                    "no dispatcher answers at " + address.getHostString() + ":" + address.getPort()
                            + " (" + e.getMessage() + ")");
        }
    }
}
