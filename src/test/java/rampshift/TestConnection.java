package rampshift;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import rampshift.serve.DispatcherServer;

/** One end of a connection: that of a client of a dispatcher, or that of an emulated server. */
public final class TestConnection implements Closeable {
    private final Socket socket;

    /** Creates the end of a connected socket. */
    public TestConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(TestPeers.TIMEOUT_MS);
        socket.setTcpNoDelay(true);
    }

    /** Connects to a dispatcher as a client. */
    public TestConnection(DispatcherServer server) throws IOException {
        this(new Socket(server.address().getAddress(), server.address().getPort()));
    }

    /** Sends a text, one byte per character. */
    public TestConnection write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    /** Blocks until the next message has been received. */
    public HttpMessage read() throws IOException {
        return HttpMessage.read(socket.getInputStream());
    }

    /**
     * Reads up to and including a text. If it is not received, the received text is followed by "[END]" (the
     * peer closed the connection), "[SILENCE]" (timeout) or "[RESET]".
     */
    public String readUntil(String text) throws IOException {
        StringBuilder received = new StringBuilder();
        try {
            while (received.indexOf(text) < 0) {
                int next = socket.getInputStream().read();
                if (next < 0) {
                    return received + "[END]";
                }
                received.append((char) next);
            }
        } catch (SocketTimeoutException e) {
            return received + "[SILENCE]";
        } catch (IOException e) {
            return received + "[RESET]";
        }
        return received.toString();
    }

    /** Sets the timeout of further reads. */
    public TestConnection readTimeout(int millis) throws IOException {
        socket.setSoTimeout(millis);
        return this;
    }

    /** Returns whether the peer closes the connection before the timeout; its input is skipped. */
    public boolean closedByPeer() {
        try {
            return socket.getInputStream().skip(Long.MAX_VALUE) >= 0 && socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Returns the local port. */
    public int port() {
        return socket.getLocalPort();
    }

    /** Sends a task of a traffic type. */
    public TestConnection sendTask(String id, String type, String body) throws IOException {
        return write("POST /api HTTP/1.1\r\nHost: a\r\nX-Txn: " + id + "\r\nX-Lane: " + type
                + "\r\nX-Remaining: 5.0\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Closes the connection by RST if the type is "rst", else by FIN. */
    public void disconnect(String closeType) throws IOException {
        socket.setSoLinger(closeType.equals("rst"), 0);
        socket.close();
    }

    /** Sends a worker's response: progress messages of a task, one per chunk. */
    public void respondWithProgress(String... messages) throws IOException {
        StringBuilder text = new StringBuilder("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (String message : messages) {
            text.append(Integer.toHexString(message.length() + 1)).append("\r\n").append(message)
                    .append("\n\r\n");
        }
        write(text + "0\r\n\r\n");
    }

    /** Sends a worker's response: the task has started and finished with a result. */
    public void respondDone(HttpMessage task, String result) throws IOException {
        String id = "{\"id\":\"" + task.field("X-Txn") + "\",";
        respondWithProgress(id + "\"state\":\"started\"}",
                id + "\"state\":\"done\",\"result\":\"" + result + "\"}");
    }

    /** Sends a response without a body; each header line includes its line end. */
    public void respondStatus(int status, String headerLines) throws IOException {
        write("HTTP/1.1 " + status + " x\r\n" + headerLines + "Content-Length: 0\r\n\r\n");
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
