package rampshift.workers;

import java.io.IOException;
import rampshift.connections.BoundedBuffer;
import rampshift.policy.AttemptOutcome;

/** Reads the progress messages about one task, one per line, from the body of a worker's response. */
final class ProgressReader {
    private static final int INITIAL_LINE_BYTES = 1024;
    private static final int MAX_LINE_BYTES = 64 * 1024;

    private final String taskId;
    private final LoadReportReader loadReportReader;
    private final BoundedBuffer line = new BoundedBuffer(INITIAL_LINE_BYTES, MAX_LINE_BYTES);

    ProgressReader(String taskId, LoadReportReader loadReportReader) {
        this.taskId = taskId;
        this.loadReportReader = loadReportReader;
    }

    /**
     * Reads the next byte of the body.
     *
     * @return the message that the byte completes; null if it completes none or a blank line
     * @throws MalformedProgressException if the line is too long, not a JSON object, or about another task
     */
    ProgressMessage read(byte next) throws MalformedProgressException {
        if (next == '\n') {
            return endLine();
        }
        if (!line.append(next)) {
            throw new MalformedProgressException("a line over " + MAX_LINE_BYTES + " bytes",
                    AttemptOutcome.ERRED);
        }
        return null;
    }

    /**
     * Ends the current line, at a line feed or at the end of the body: the last line may lack its line feed.
     *
     * @return the message in the line; null if the line is blank
     * @throws MalformedProgressException if the line is not a JSON object, or about another task
     */
    ProgressMessage endLine() throws MalformedProgressException {
        try {
            return isBlank() ? null : parse();
        } finally {
            line.clear();
        }
    }

    /** Returns the memory that is held of an unfinished line, in bytes. */
    int heldBytes() {
        return line.heldBytes();
    }

    private boolean isBlank() {
        return line.length() == 0 || (line.length() == 1 && line.endsWith((byte) '\r'));
    }

    private ProgressMessage parse() throws MalformedProgressException {
        ProgressMessage message;
        try {
            message = ProgressMessageParser.parse(line.array(), line.length(), loadReportReader);
        } catch (IOException e) {
            throw new MalformedProgressException("a line that is not a JSON object", AttemptOutcome.BROKEN);
        }
        if (!isAboutTask(message)) {
            throw new MalformedProgressException("a line that may be about another task",
                    AttemptOutcome.BROKEN);
        }
        return message;
    }

    /**
     * Returns whether a message is about this task. Without an id it is accepted, unless it reports the task
     * as done or returned: then it may be the last message about an earlier task.
     */
    private boolean isAboutTask(ProgressMessage message) {
        if (message.taskId() == null) {
            return message.state() != TaskState.DONE && message.state() != TaskState.RETURNED;
        }
        return message.taskId().equals(taskId);
    }
}
