package rampshift.membership.host;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioWorker;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/** The UDP socket of a member. Used on the I/O thread only. */
final class DatagramPort implements Closeable {
    /** Exceeds every datagram that members send; a longer one is truncated and fails its checksum. */
    private static final int BUFFER_BYTES = 2048;
    /** The number of datagrams handled in a row before other work of the I/O thread runs. */
    private static final int MAX_DATAGRAMS_PER_READ = 64;

    /** Handles received datagrams. */
    interface Receiver {
        /**
         * Handles a datagram.
         *
         * @param fromAddress host and port of the sender
         * @param bytes       holds the datagram at its start; reused for the next datagram
         * @param count       the length of the datagram in bytes
         */
        void onDatagram(String fromAddress, byte[] bytes, int count);
    }

    private final MulticastMessageChannel channel;
    private final Receiver receiver;
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final byte[] bytes = new byte[BUFFER_BYTES];
    private final SocketAddressBuffer sender = new SocketAddressBuffer();
    private boolean closed;

    /**
     * Binds the socket.
     *
     * @throws IOException if the socket can't be bound to the address
     */
    DatagramPort(XnioWorker worker, InetSocketAddress listen, Receiver receiver) throws IOException {
        this.receiver = receiver;
        channel = worker.createUdpServer(listen, ignored -> {}, OptionMap.EMPTY);
    }

    /** Starts receiving. */
    void resumeReceives() {
        channel.getReadSetter().set(ignored -> receive());
        channel.resumeReads();
    }

    /** Sends a datagram to an address. One that can't be sent counts as lost; the protocol retries. */
    void send(String address, byte[] datagram) {
        try {
            channel.sendTo(MemberAddresses.parse(address), ByteBuffer.wrap(datagram));
        } catch (IOException e) {
            // Counts as lost; the protocol retries.
        }
    }

    private void receive() {
        try {
            for (int i = 0; i < MAX_DATAGRAMS_PER_READ && !closed; i++) {
                buffer.clear();
                sender.clear();
                int count = channel.receiveFrom(sender, buffer);
                if (count <= 0) {
                    return;
                }
                buffer.flip().get(bytes, 0, count);
                receiver.onDatagram(MemberAddresses.format(sender.getSourceAddress()), bytes, count);
            }
        } catch (IOException e) {
            // Reading may fail, for example if the receiver of an earlier datagram refused it.
        }
    }

    @Override
    public void close() {
        closed = true;
        IoUtils.safeClose(channel);
    }
}
