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

/** Provides loopback addresses and I/O threads for emulated workers and clients. */
public final class LoopbackNetwork {
    private static final String LOOPBACK_ADDRESS = "127.0.0.1";
    private static final String DEDICATED_NETWORK_PREFIX = "127.0.1.";
    private static final int DEDICATED_ADDRESS_COUNT = 250;

    private LoopbackNetwork() {}

    /**
     * Finds ports on 127.0.0.1 that are free now. The system may assign them to other sockets at any time.
     *
     * @param count the number of ports
     * @return the addresses with these ports
     */
    public static List<InetSocketAddress> findFreeAddresses(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<InetSocketAddress> addresses = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK_ADDRESS));
                sockets.add(socket);
                addresses.add(address(socket.getLocalPort()));
            }
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
        return addresses;
    }

    /**
     * Finds addresses that the system does not assign to other sockets: their hosts are in 127.0.1.0/24, from
     * which it chooses no local addresses. A free port on 127.0.0.1, by contrast, can be assigned to the next
     * socket that binds to any port. The first 250 addresses have different hosts; then hosts repeat.
     *
     * @param count the number of addresses
     */
    public static List<InetSocketAddress> findDedicatedAddresses(int count) throws IOException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String host = DEDICATED_NETWORK_PREFIX + (1 + i % DEDICATED_ADDRESS_COUNT);
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
                addresses.add((InetSocketAddress) socket.getLocalSocketAddress());
            }
        }
        return addresses;
    }

    /**
     * Checks that a port on 127.0.0.1 is free.
     *
     * @param port the port; 0 for any free one
     * @throws IOException if the port is in use
     */
    public static void requireFreePort(int port) throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.setReuseAddress(true);
            socket.bind(address(port), 1);
        } catch (BindException e) {
            throw new IOException(LOOPBACK_ADDRESS + ":" + port + " is taken");
        }
    }

    /** Returns the address of a port on 127.0.0.1. */
    public static InetSocketAddress address(int port) throws IOException {
        return new InetSocketAddress(InetAddress.getByName(LOOPBACK_ADDRESS), port);
    }

    /** Creates an XNIO worker with one I/O thread and one task thread, both daemons. */
    public static XnioWorker createIoWorker(String name) throws IOException {
        System.setProperty("javax.management.builder.initial", "none");
        return Xnio.getInstance(LoopbackNetwork.class.getClassLoader()).createWorker(OptionMap.builder()
                .set(Options.WORKER_NAME, name).set(Options.WORKER_IO_THREADS, 1)
                .set(Options.WORKER_TASK_CORE_THREADS, 1).set(Options.WORKER_TASK_MAX_THREADS, 1)
                .set(Options.THREAD_DAEMON, true).getMap());
    }
}
