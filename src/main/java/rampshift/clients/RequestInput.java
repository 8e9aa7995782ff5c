package rampshift.clients;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.StreamSourceConduit;
import rampshift.connections.MemoryBudget;
import rampshift.time.Moment;

/**
 * Reads requests from one client's socket. Passes on only complete and valid requests, one at a time; input
 * after a request is buffered, up to a limit per connection and within the memory for all connections.
 */
final class RequestInput {
    private static final int MAX_PIPELINED_BYTES = RequestReader.MAX_REQUEST_BYTES;
    private static final int MAX_READS_AHEAD = 16;
    /** Takes the place of a request whose bytes the HTTP server has read, to release their memory. */
    private static final ByteBuffer READ_REQUEST = ByteBuffer.allocate(0);

    private final ClientConnection connection;
    private final StreamSourceConduit socket;
    private final ConnectionEvents events;
    private final ReadContext context;
    private final MemoryBudget.Reservation reservation;
    private final RequestReader reader = new RequestReader();
    private final PipelinedInput pipelined = new PipelinedInput();
    /** The request in flight; null if there is none. */
    private ByteBuffer request;
    /**
     * The head of the request in flight until the HTTP server reads the request; null afterwards, to save
     * memory on the many idle connections.
     */
    private RequestHead requestHead;
    private Moment requestReceivedAt;
    /** The earliest arrival time of the next bytes; null if it is estimated when they are read. */
    private Moment nextArrivalTime;
    /** The arrival time of the last byte that the reader has consumed. */
    private Moment lastArrivalTime;
    private boolean interimResponsePending;
    private boolean pipelinedInputDropped;

    /**
     * Creates the input of a connection.
     *
     * @param acceptedAt the earliest time at which the first bytes may have arrived
     */
    RequestInput(ClientConnection connection, StreamSourceConduit socket, ConnectionEvents events,
            ReadContext context, MemoryBudget budget, Moment acceptedAt) {
        this.connection = connection;
        this.socket = socket;
        this.events = events;
        this.context = context;
        reservation = budget.newReservation(this::evict);
        nextArrivalTime = acceptedAt;
    }

    /** Returns whether a request is in flight whose response is not fully written. */
    boolean hasRequest() {
        return request != null;
    }

    /** Returns whether the HTTP server has not read all bytes of the request in flight yet. */
    boolean hasRequestBytes() {
        return request != null && request.hasRemaining();
    }

    /** Returns whether a request is in flight of which the HTTP server has read nothing yet. */
    boolean isRequestUntouched() {
        return requestHead != null;
    }

    /** Returns the head of the request in flight; null if the HTTP server has read any of the request. */
    RequestHead requestHead() {
        return requestHead;
    }

    /**
     * Withholds the request in flight from the HTTP server; its response is written directly to the
     * connection.
     */
    void withholdRequest() {
        request = READ_REQUEST;
        requestHead = null;
    }

    /** Copies as many bytes of the request in flight as fit, and returns their number. */
    int readRequestBytes(ByteBuffer to) {
        requestHead = null;
        int count = Math.min(to.remaining(), request.remaining());
        int limit = request.limit();
        to.put(request.limit(request.position() + count));
        request.limit(limit);
        if (!request.hasRemaining()) {
            request = READ_REQUEST;
        }
        return count;
    }

    /**
     * Returns the arrival time of the last byte of the request in flight, which includes the time in the
     * buffer.
     */
    Moment requestReceivedAt() {
        return requestReceivedAt;
    }

    void clearRequest() {
        request = null;
        requestHead = null;
    }

    /** Returns whether any part of a request has been read that is not passed on yet. */
    boolean hasStartedRequest() {
        return reader.hasStarted();
    }

    /** Returns whether input that has been read already may hold the next request. */
    boolean hasUnprocessedInput() {
        return reader.isComplete() || !pipelined.isEmpty();
    }

    boolean isPipelinedInputDropped() {
        return pipelinedInputDropped;
    }

    boolean isInterimResponsePending() {
        return interimResponsePending;
    }

    /** Sets whether an interim response is being written; meanwhile no request is passed on. */
    void setInterimResponsePending(boolean pending) {
        interimResponsePending = pending;
    }

    /** Returns whether the client now expects "100 Continue"; true at most once per request. */
    boolean takeContinueExpected() {
        return reader.takeContinueExpected();
    }

    /** Drops all input that is not passed on yet. */
    void dropInput() {
        pipelined.clear();
        reader.takeRequest();
    }

    /** Releases the reservation of memory. */
    void releaseMemory() {
        reservation.release();
    }

    /**
     * Reads until a request is complete and none is in flight, or nothing more can be read.
     *
     * @return 0, or -1 at the end of the input, even if a complete request precedes it, since its client has
     *     disconnected
     * @throws InvalidRequestException if what was read is rejected
     */
    int readRequest() throws IOException, InvalidRequestException {
        while (!mustReadAhead()) {
            boolean hadStarted = reader.hasStarted();
            if (hasUnprocessedInput()) {
                readPipelinedInput();
            } else {
                int count = readSocket();
                if (count <= 0) {
                    return count;
                }
            }
            if (!hadStarted && !hasRequest()) {
                connection.requestStarted();
            }
            if (!reserveMemory() || hasRequest()) {
                continue;
            }
            if (reader.takeContinueExpected()) {
                events.continueExpected(connection);
            }
            if (reader.isComplete()) {
                return interimResponsePending ? readAhead() : deliverRequest();
            }
        }
        return readAhead();
    }

    private boolean mustReadAhead() {
        return hasRequest() && (pipelinedInputDropped || reader.isComplete());
    }

    private int readSocket() throws IOException, InvalidRequestException {
        ByteBuffer buffer = context.buffer();
        int count = socket.read(buffer);
        if (count <= 0) {
            nextArrivalTime = null;     // later input was not there when the connection was accepted
            return count;
        }
        lastArrivalTime = takeArrivalTime();
        reader.read(buffer.flip());
        pipelined.add(buffer, lastArrivalTime);
        return count;
    }

    private Moment takeArrivalTime() {
        Moment arrival = nextArrivalTime == null ? context.earliestArrival() : nextArrivalTime;
        nextArrivalTime = null;
        return arrival;
    }

    private void readPipelinedInput() throws InvalidRequestException {
        while (!reader.isComplete() && !pipelined.isEmpty()) {
            lastArrivalTime = pipelined.readFirstPiece(reader);
        }
    }

    /**
     * Reserves memory for the input that is being received. Returns false if the input after the request in
     * flight was dropped since the memory for the input of all connections is exhausted.
     */
    private boolean reserveMemory() throws InvalidRequestException {
        if (reserve(pipelined.heldBytes())) {
            return true;
        }
        if (!hasRequest()) {
            throw memoryExhausted();
        }
        // The request in flight may already be executing, and is not rejected because of the next one.
        dropInputBehindRequest();
        return false;
    }

    /**
     * Reserves memory for the request that is being read and for the input after it. A body of which the head
     * is complete keeps its memory, so that a client that sends slowly is not rejected halfway; a head may be
     * evicted.
     */
    private boolean reserve(int pipelinedBytes) {
        int bytes = reader.bytesToReserve() + pipelinedBytes;
        return reader.isHeadComplete() ? reservation.resizeAndPin(bytes) : reservation.resize(bytes);
    }

    /** Hundreds of clients that stall within large requests would exhaust the memory. */
    private static InvalidRequestException memoryExhausted() {
        return new InvalidRequestException(503, "too many request bodies are being received");
    }

    private void evict() {
        if (hasRequest()) {
            dropInputBehindRequest();
        } else {
            events.invalidRequest(connection, memoryExhausted());
        }
    }

    private int deliverRequest() throws InvalidRequestException {
        requestHead = reader.head();
        request = reader.takeRequest();
        requestReceivedAt = lastArrivalTime;
        connection.requestReceived();
        readPipelinedInput();       // detects invalid input after this request before it is passed on
        reserveMemory();
        return 0;
    }

    /**
     * Reads ahead while a complete request waits: buffers the input after it, and detects the end of the
     * input.
     */
    private int readAhead() throws IOException {
        for (int i = 0; i < MAX_READS_AHEAD; i++) {
            ByteBuffer buffer = context.buffer();
            int count = socket.read(buffer);
            if (count <= 0) {
                return count;
            }
            if (!pipelinedInputDropped && !canBuffer(count)) {
                dropInputBehindRequest();
            }
            if (!pipelinedInputDropped) {
                pipelined.add(buffer.flip(), takeArrivalTime());
            }
        }
        return 0;
    }

    private boolean canBuffer(int count) {
        int pipelinedBytes = pipelined.heldBytes() + PipelinedInput.heldBytesOf(count);
        return pipelinedBytes <= MAX_PIPELINED_BYTES && reserve(pipelinedBytes);
    }

    /**
     * Drops the input after the request in flight and all further input; the connection is closed after the
     * response to the request in flight.
     */
    private void dropInputBehindRequest() {
        pipelinedInputDropped = true;
        dropInput();
        events.pipelinedInputDropped(connection);
    }
}
