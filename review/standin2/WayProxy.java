import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The way from a dispatcher of one site to one of another: datagrams and streams arrive some milliseconds later. */
final class WayProxy {
    private static final ScheduledExecutorService CLOCK = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    final int port;
    private final long delayMicros;

    WayProxy(int target, long delayMicros) throws Exception {
        this.delayMicros = delayMicros;
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        port = Stage.freePort();
        InetSocketAddress to = new InetSocketAddress(loopback, target);
        DatagramSocket in = new DatagramSocket(port, loopback);
        Threads.start(() -> {
            byte[] bytes = new byte[4096];
            while (true) {
                DatagramPacket packet = new DatagramPacket(bytes, bytes.length);
                in.receive(packet);
                byte[] copy = Arrays.copyOf(bytes, packet.getLength());
                later(() -> in.send(new DatagramPacket(copy, copy.length, to)));
            }
        });
        ServerSocket server = new ServerSocket(port, 64, loopback);
        Threads.start(() -> {
            while (true) {
                Socket from = server.accept();
                Threads.start(() -> {
                    Socket there = new Socket();
                    there.connect(to, 500);
                    Threads.start(() -> pump(from, there));
                    pump(there, from);
                });
            }
        });
    }

    private void later(Threads.Body body) {
        CLOCK.schedule(() -> {
            try {
                body.run();
            } catch (Exception e) {
                // Lost: the receiver is not there.
            }
        }, delayMicros, TimeUnit.MICROSECONDS);
    }

    private void pump(Socket from, Socket to) throws Exception {
        try (from; to) {
            byte[] bytes = new byte[8192];
            for (int n = from.getInputStream().read(bytes); n >= 0; n = from.getInputStream().read(bytes)) {
                TimeUnit.MICROSECONDS.sleep(delayMicros);
                to.getOutputStream().write(bytes, 0, n);
                to.getOutputStream().flush();
            }
        }
    }
}
