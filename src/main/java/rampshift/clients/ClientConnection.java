package rampshift.clients;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;
import org.xnio.conduits.StreamSourceConduit;
import rampshift.time.Moment;
import rampshift.time.Span;

/** One client's connection: its state, and what it reads between the socket and the HTTP server. */
final class ClientConnection {
    private final StreamConnection channel;
    private final StreamSourceConduit socket;
    private final ConnectionEvents events;
    private final ReadContext context;
    private final ReceiveBudget.Reservation reservation;
    private final RequestInput input;
    /**
     * Since when it has been connected, idle, receiving a request, or closing: its time limits count from
     * then.
     */
    private Moment phaseStart;
    private Moment lastInputAt;
    private ConnectionState listedState;
    private Moment listedSince;
    private ClientRequest currentRequest;
    private boolean hasSentRequest;
    private boolean hasSentTask;
    private boolean watched;
    /** Nothing more is read as a request: input is discarded until the client has read its response. */
    private boolean closing;
    private boolean peerClosed;

    /**
     * Takes over a channel; what is read from it passes here from now on.
     *
     * @param acceptedAt the earliest time at which the first bytes may have arrived
     */
    ClientConnection(StreamConnection channel, ConnectionEvents events, ReadContext context,
            ReceiveBudget budget,
            Moment acceptedAt) {
        this.channel = channel;
        this.events = events;
        this.context = context;
        socket = channel.getSourceChannel().getConduit();
        reservation = budget.newReservation();
        input = new RequestInput(this, socket, events, context, reservation, acceptedAt);
        phaseStart = context.now();
        channel.getSourceChannel().setConduit(new RequestConduit(this, socket));
    }

    StreamConnection channel() {
        return channel;
    }

    /** Gives back the memory that is reserved for input. */
    void releaseMemory() {
        reservation.release();
    }

    // ---- state

    /** Returns whether a request is in flight and its response is not fully written. */
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

    /** Returns the state under which {@link ConnectionTable} lists the connection; null before it does. */
    ConnectionState listedState() {
        return listedState;
    }

    /** Returns since when the connection has been listed under that state. */
    Moment listedSince() {
        return listedSince;
    }

    void listAs(ConnectionState newState, Moment since) {
        listedState = newState;
        listedSince = since;
    }

    /** Returns for how long the connection has been connected, idle, receiving a request, or closing. */
    Span phaseLength(Moment now) {
        return now.since(phaseStart);
    }

    /** Returns for how long a closing connection has received nothing. */
    Span quietTime(Moment now) {
        return now.since(lastInputAt);
    }

    /** Returns whether the connection closes after the response to the request in flight. */
    boolean closesAfterResponse() {
        return closing || input.isPipelinedInputDropped();
    }

    /** Returns whether a request is being received, or the first one is still to come. */
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
     * Returns the request that is told when the client leaves or sends invalid input; null if there is none.
     */
    ClientRequest currentRequest() {
        return currentRequest;
    }

    void setCurrentRequest(ClientRequest request) {
        currentRequest = request;
    }

    /** Returns when the request in flight was complete here; the time of its client counts from then. */
    Moment requestReceivedAt() {
        return input.requestReceivedAt();
    }

    // ---- transitions

    /** Returns true the first time: the connection is watched for its close from then on. */
    boolean startWatching() {
        boolean first = !watched;
        watched = true;
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

    /** While an interim response is being written, no request is handed on. */
    void setInterimResponsePending(boolean pending) {
        input.setInterimResponsePending(pending);
    }

    /** The response to the request in flight is fully written, perhaps as the last one of the connection. */
    void responseSent(boolean last) {
        input.clearRequest();
        phaseStart = context.now();
        if (last) {
            startClosing();
        }
        events.stateChanged(this);
    }

    /** From now on input is discarded; the connection is closed once the client has read its response. */
    void startClosing() {
        closing = true;
        input.clearRequest();
        input.dropPipelinedInput();
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

    /** Keeps the request in flight from the HTTP server: its response is sent without it. */
    void withholdRequest() {
        input.withholdRequest();
    }

    /** Reads on, and returns -1 at the end of the input, else 0. */
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
     * Reads and discards input once: unread bytes would turn the close into a reset, which may swallow the
     * response.
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

    /** Reads what has arrived, and returns whether the client has closed its side. */
    boolean readUntilPeerClosed() throws IOException {
        int result = closing ? discardInput() : readRequest();
        return result < 0;
    }

    void suspendReads() {
        socket.suspendReads();
    }

    /** Has Undertow told when input is there, in the socket or read ahead. */
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

    /** Hands on input that was read ahead, unless it was handed on meanwhile. */
    void processWaitingInput() {
        if (hasWaitingInput()) {
            socket.wakeupReads();
        }
    }
}
