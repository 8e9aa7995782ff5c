package rampshift.testbed.wire;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Addresses on loopback, and the one I/O thread that stand-ins live on. */
public final class LoopbackNetwork {
    private LoopbackNetwork() {}

    /** So many ports that nobody listens on now; the system may give them away again at once. */
    public static List<InetSocketAddress> free(int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        List<InetSocketAddress> free = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                held.add(socket);
                free.add(at(socket.getLocalPort()));
            }
        } finally {
            for (ServerSocket socket : held) {
                socket.close();
            }
        }
        return free;
    }

    /**
     * So many addresses of which nobody else takes one: each is another of 127.0.1.0/24, where no socket of
     * any port
     * comes from. A port of 127.0.0.1 that was free was taken by the next socket that wanted any.
     */
    public static List<InetSocketAddress> own(int count) throws IOException {
        List<InetSocketAddress> own = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            try (ServerSocket socket =
                    new ServerSocket(0, 1, InetAddress.getByName("127.0.1." + (1 + i % 250)))) {
                own.add((InetSocketAddress) socket.getLocalSocketAddress());
            }
        }
        return own;
    }

    /** Throws, naming it, where somebody listens on that port already; 0 is any port. */
    public static void needs(int port) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(at(port), 1);
        } catch (BindException e) {
            throw new IOException("127.0.0.1:" + port + " is taken");
        }
    }

    public static InetSocketAddress at(int port) throws IOException {
        return new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port);
    }

    public static XnioWorker worker(String name) throws IOException {
        System.setProperty("javax.management.builder.initial", "none");
        return Xnio.getInstance(LoopbackNetwork.class.getClassLoader()).createWorker(OptionMap.builder()
                .set(Options.WORKER_NAME, name).set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1).set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.THREAD_DAEMON, true).getMap());
    }
}
