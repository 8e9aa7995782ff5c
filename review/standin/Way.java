import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;

/**
 * The way between two dispatchers that stand in different sites, in both directions: all that one sends to the
 * other takes so many milliseconds. Each reaches the other at an address of the way.
 */
final class Way {
    private static final int MAX_DATAGRAM_BYTES = 16 * 1024;

    private final double wayMs;
    private final DatagramSocket toSecond;
    private final DatagramSocket toFirst;

    /** Opens the way between the dispatchers that listen for others at these ports of 127.0.0.1. */
    Way(int first, int second, double wayMs) throws IOException {
        this.wayMs = wayMs;
        toSecond = open(second);
        toFirst = open(first);
        carry(toSecond, toFirst, second);
        carry(toFirst, toSecond, first);
    }

    /** Returns the port at which the first dispatcher reaches the second one. */
    int portToSecond() {
        return toSecond.getLocalPort();
    }

    /** Returns the port at which the second dispatcher reaches the first one. */
    int portToFirst() {
        return toFirst.getLocalPort();
    }

    /** Opens a port for datagrams and streams; streams are relayed to the target at once. */
    private static DatagramSocket open(int target) throws IOException {
        while (true) {
            ServerSocket streams = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
            try {
                DatagramSocket datagrams =
                        new DatagramSocket(new InetSocketAddress("127.0.0.1", streams.getLocalPort()));
                Lab.daemon(() -> {
                    while (true) {
                        Socket from = streams.accept();
                        Lab.daemon(() -> relay(from, target));
                    }
                });
                return datagrams;
            } catch (java.net.BindException e) {
                streams.close();
            }
        }
    }

    private static void relay(Socket from, int target) throws IOException {
        try (from; Socket to = new Socket(InetAddress.getByName("127.0.0.1"), target)) {
            Thread back = new Thread(() -> copy(to, from));
            back.setDaemon(true);
            back.start();
            copy(from, to);
            back.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void copy(Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            in.transferTo(out);
            to.shutdownOutput();
        } catch (IOException e) {
            // One side has closed.
        }
    }

    /** Carries what arrives at one socket to a port; the other socket is the source there. */
    private void carry(DatagramSocket at, DatagramSocket source, int target) {
        Lab.daemon(() -> {
            byte[] buffer = new byte[MAX_DATAGRAM_BYTES];
            InetSocketAddress to = new InetSocketAddress("127.0.0.1", target);
            while (true) {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                at.receive(packet);
                byte[] bytes = Arrays.copyOf(buffer, packet.getLength());
                Lab.daemon(() -> {
                    Lab.sleep(wayMs);
                    source.send(new DatagramPacket(bytes, bytes.length, to));
                });
            }
        });
    }
}
