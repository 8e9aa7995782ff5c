package rampshift.clients;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.conduits.StreamSourceConduit;
import rampshift.connections.MemoryBudget;
import rampshift.time.Moment;
import rampshift.time.Span;

/** One client connection: its state, and the reading of requests between the socket and the HTTP server. */
final class ClientConnection {
    private final StreamConnection channel;
    private final StreamSourceConduit socket;
    private final ConnectionEvents events;
    private final ReadContext context;
    private final RequestInput input;
    /** The memory of the response that is being written. */
    private final MemoryBudget.Reservation responseReservation;
    /**
     * Start of the current phase (connected, idle, receiving a request or closing), from which the time
     * limits of the connection count.
     */
    private Moment phaseStart;
    private Moment lastInputAt;
    private ConnectionState listedState;
    private Moment listedSince;
    private ClientRequest currentRequest;
    private boolean hasSentRequest;
    private boolean hasSentTask;
    private boolean hasCloseListener;
    /**
     * Whether input is discarded, until the client has read its response, instead of being read as requests.
     */
    private boolean closing;
    private boolean peerClosed;

    /**
     * Creates the connection of a channel and routes all reads of the channel through it.
     *
     * @param acceptedAt the earliest time at which the first bytes may have arrived
     */
    ClientConnection(StreamConnection channel, ConnectionEvents events, ReadContext context,
            ClientLimits limits, Moment acceptedAt) {
        this.channel = channel;
        this.events = events;
        this.context = context;
        socket = channel.getSourceChannel().getConduit();
        input = new RequestInput(this, socket, events, context, limits.receivingMemory(), acceptedAt);
        responseReservation = limits.responseMemory().newReservation(() -> IoUtils.safeClose(channel));
        phaseStart = context.now();
        channel.getSourceChannel().setConduit(new RequestConduit(this, socket));
    }

    StreamConnection channel() {
        return channel;
    }

    /** Releases the memory that is reserved for input. */
    void releaseMemory() {
        input.releaseMemory();
    }

    /**
     * Reserves memory for a response that is about to be written. The connection is closed if the memory is
     * exhausted while its client has been reading for the longest time.
     */
    void responseStarted(int bytes) {
        if (!responseReservation.resize(bytes)) {
            IoUtils.safeClose(channel);
        }
    }

    /** Releases all memory that is reserved for the connection, since it is closed. */
    void closed() {
        releaseMemory();
        responseReservation.release();
    }

    // ---- state

    /** Returns whether a request is in flight, which includes a response that is not fully written. */
    boolean isBusy() {
        return input.hasRequest();
    }

    boolean isClosing() {
        return closing;
    }

    ConnectionState state() {
        if (peerClosed) {
            return ConnectionState.PEER_CLOSED;
        }
        if (isBusy()) {
            return ConnectionState.BUSY;
        }
        if (closing) {
            return ConnectionState.CLOSING;
        }
        if (hasStartedRequest()) {
            return ConnectionState.RECEIVING;
        }
        if (hasSentTask) {
            return ConnectionState.IDLE;
        }
        return hasSentRequest ? ConnectionState.IDLE_WITHOUT_TASK : ConnectionState.NEW;
    }

    /**
     * Returns the state under which {@link ConnectionTable} lists the connection; null if it is not listed
     * yet.
     */
    ConnectionState listedState() {
        return listedState;
    }

    /** Returns when the connection was listed under that state. */
    Moment listedSince() {
        return listedSince;
    }

    void listAs(ConnectionState newState, Moment since) {
        listedState = newState;
        listedSince = since;
    }

    /** Returns how long the current phase (connected, idle, receiving a request or closing) has lasted. */
    Span phaseLength(Moment now) {
        return now.since(phaseStart);
    }

    /** Returns the time since a closing connection last received input. */
    Span quietTime(Moment now) {
        return now.since(lastInputAt);
    }

    /** Returns whether the connection closes after the response to the request in flight. */
    boolean closesAfterResponse() {
        return closing || input.isPipelinedInputDropped();
    }

    /** Returns whether a request is being received, or the first one has not begun. */
    boolean isRequestExpected() {
        return !isBusy() && !closing && (!hasSentRequest || hasStartedRequest());
    }

    boolean hasStartedRequest() {
        return input.hasStartedRequest();
    }

    /** Returns whether the client has sent a complete request. */
    boolean hasSentRequest() {
        return hasSentRequest;
    }

    /** Returns whether a task of the client has been accepted. */
    boolean hasSentTask() {
        return hasSentTask;
    }

    void taskAccepted() {
        hasSentTask = true;
    }

    /**
     * Returns the request that is notified when the client disconnects or sends invalid input; null if there
     * is none.
     */
    ClientRequest currentRequest() {
        return currentRequest;
    }

    void setCurrentRequest(ClientRequest request) {
        currentRequest = request;
    }

    /** Returns when the request in flight was completely received; its deadline counts from then. */
    Moment requestReceivedAt() {
        return input.requestReceivedAt();
    }

    // ---- transitions

    /** Marks the connection as having a close listener, and returns true on the first call. */
    boolean markCloseListenerAdded() {
        boolean first = !hasCloseListener;
        hasCloseListener = true;
        return first;
    }

    void requestStarted() {
        if (hasSentRequest) {
            phaseStart = context.now();
        }
    }

    void requestReceived() {
        hasSentRequest = true;
    }

    /**
     * Sets whether an interim response is being written; meanwhile no request is passed to the HTTP server.
     */
    void setInterimResponsePending(boolean pending) {
        input.setInterimResponsePending(pending);
    }

    /**
     * Records that the response to the request in flight is fully written; after the last response the
     * connection starts to close.
     */
    void responseSent(boolean last) {
        responseReservation.release();
        input.clearRequest();
        phaseStart = context.now();
        if (last) {
            startClosing();
        }
        events.stateChanged(this);
    }

    /** Starts to discard input; the connection is closed once the client has read its response. */
    void startClosing() {
        closing = true;
        input.clearRequest();
        input.dropInput();
        phaseStart = context.now();
        lastInputAt = phaseStart;
        events.stateChanged(this);
    }

    // ---- input

    /** Reads bytes of a complete request; see {@link java.nio.channels.ReadableByteChannel#read}. */
    int read(ByteBuffer to) throws IOException {
        if (closing) {
            return Math.min(0, discardInput());
        }
        if (!input.hasRequestBytes()) {
            int result = readRequest();
            if (!input.hasRequestBytes()) {
                return result;
            }
        }
        if (input.isRequestUntouched() && events.rejectsForOverload(this, input.requestHead())) {
            return 0;
        }
        return input.readRequestBytes(to);
    }

    /**
     * Withholds the request in flight from the HTTP server; its response is written directly to the
     * connection.
     */
    void withholdRequest() {
        input.withholdRequest();
    }

    /**
     * Reads until a request is complete or no input is left, and returns -1 at the end of the input, else 0.
     */
    private int readRequest() throws IOException {
        int result = -1;
        try {
            result = input.readRequest();
        } catch (InvalidRequestException e) {
            events.invalidRequest(this, e);
            result = 0;
        } finally {
            peerClosed = result < 0;
            events.stateChanged(this);
        }
        return result;
    }

    /**
     * Reads and discards input once. Unread bytes would turn the close into a TCP reset, after which the
     * client may lose the response.
     *
     * @return the number of bytes, or -1 at the end of the input
     */
    int discardInput() throws IOException {
        int count = socket.read(context.buffer());
        if (count > 0) {
            lastInputAt = context.now();
        } else if (count < 0) {
            peerClosed = true;
            events.stateChanged(this);
        }
        return count;
    }

    /** Reads the available input, and returns whether the client has closed its side. */
    boolean readUntilPeerClosed() throws IOException {
        int result = closing ? discardInput() : readRequest();
        return result < 0;
    }

    void suspendReads() {
        socket.suspendReads();
    }

    /** Makes XNIO notify Undertow of input, both in the socket and read ahead. */
    void resumeReads() {
        if (!isBusy() && !closing && input.takeContinueExpected()) {
            events.continueExpected(this);
        }
        if (!closing && input.hasRequestBytes()) {
            socket.wakeupReads();
            return;
        }
        socket.resumeReads();
        if (hasWaitingInput()) {
            events.readOnNextTick(this);
        }
    }

    private boolean hasWaitingInput() {
        return !closing && !isBusy() && !input.isInterimResponsePending() && input.hasUnprocessedInput();
    }

    /** Wakes up reads for input that was read ahead, unless it has been processed meanwhile. */
    void processWaitingInput() {
        if (hasWaitingInput()) {
            socket.wakeupReads();
        }
    }
}
