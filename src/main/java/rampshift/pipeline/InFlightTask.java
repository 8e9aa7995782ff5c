package rampshift.pipeline;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import rampshift.clients.ClientRequest;
import rampshift.time.Moment;
import rampshift.workers.AttemptExchange;

/** A task from its admission until it is answered and all its attempts have ended. */
final class InFlightTask {
    private static final int INITIAL_HEAD_CHARACTERS = 512;
    /** The memory for the objects of a task and its attempts, beside its message and its header fields. */
    private static final int OVERHEAD_BYTES = 2048;

    private final long id;
    private final ClientRequest request;
    private final TaskDescription description;
    /** The part of the head that is the same for all attempts: all but the field with the remaining time. */
    private final byte[] head;
    private final byte[] body;
    private final int heldBytes;
    /** The attempts by their numbers; null before an attempt is sent and after it has ended. */
    private final List<AttemptExchange> attempts = new ArrayList<>(2);
    /** The start times of the attempts by their numbers; null for those that are known not to have run. */
    private final List<Moment> attemptStarts = new ArrayList<>(2);
    private Moment deadline;
    private int openAttempts;
    private boolean answered;

    InFlightTask(long id, ClientRequest request, TaskDescription description, Moment deadline) {
        this.id = id;
        this.request = request;
        this.description = description;
        this.deadline = deadline;
        head = head(request).getBytes(StandardCharsets.ISO_8859_1);
        body = request.body();
        heldBytes = OVERHEAD_BYTES + request.heldHeadBytes() + head.length + body.length;
    }

    private static String head(ClientRequest request) {
        StringBuilder text = new StringBuilder(INITIAL_HEAD_CHARACTERS);
        text.append(request.method()).append(' ').append(request.target()).append(" HTTP/1.1\r\n");
        request.appendForwardedFields(text, RequestDecoder.REMAINING_TIME_FIELD);
        text.append("Content-Length: ").append(request.body().length).append("\r\n");
        return text.toString();
    }

    long id() {
        return id;
    }

    ClientRequest request() {
        return request;
    }

    TaskDescription description() {
        return description;
    }

    String transactionId() {
        return description.transactionId();
    }

    /** Returns the time by which the client must have its response. */
    Moment deadline() {
        return deadline;
    }

    /** Moves the deadline to an earlier time, even if the client would wait for longer. */
    void limitDeadline(Moment latest) {
        deadline = deadline.orEarlier(latest);
    }

    /**
     * Returns the time by which the next attempt must be sent: the deadline, or the end of the first
     * deduplication window if that is earlier. A window begins with each attempt that may have run.
     */
    Moment attemptDeadline() {
        if (description.deduplicationWindow() == null) {
            return deadline;
        }
        Moment limit = deadline;
        for (Moment start : attemptStarts) {
            if (start != null) {
                limit = limit.orEarlier(start.plus(description.deduplicationWindow()));
            }
        }
        return limit;
    }

    /** Records the start of an attempt, and returns its number. */
    int startAttempt(Moment now) {
        attempts.add(null);
        attemptStarts.add(now);
        openAttempts++;
        return attempts.size() - 1;
    }

    void setAttempt(int number, AttemptExchange attempt) {
        attempts.set(number, attempt);
    }

    /** Returns an attempt in progress; null if there is none with this number. */
    AttemptExchange attempt(int number) {
        return number < 0 || number >= attempts.size() ? null : attempts.get(number);
    }

    /** Records that an attempt has ended, and whether the task is known not to have run in it. */
    void endAttempt(int number, boolean neverRan) {
        attempts.set(number, null);
        if (neverRan) {
            attemptStarts.set(number, null);
        }
        openAttempts--;
    }

    boolean isAnswered() {
        return answered;
    }

    /** Marks the task as answered, and returns false if it was answered before. */
    boolean markAnswered() {
        boolean first = !answered;
        answered = true;
        return first;
    }

    /** Returns whether the task is answered and no attempt is in progress. */
    boolean isCompleted() {
        return answered && openAttempts == 0;
    }

    /** Returns the memory that the task takes up while it is in flight, in bytes. */
    int heldBytes() {
        return heldBytes;
    }

    /** Returns the message to a worker, with the time that remains until the deadline. */
    ByteBuffer[] message(Moment now) {
        String remainingTime =
                RequestDecoder.REMAINING_TIME_FIELD + ": " + deadline.since(now).seconds() + "\r\n\r\n";
        return new ByteBuffer[]{ByteBuffer.wrap(head),
                ByteBuffer.wrap(remainingTime.getBytes(StandardCharsets.ISO_8859_1)), ByteBuffer.wrap(body)};
    }
}
