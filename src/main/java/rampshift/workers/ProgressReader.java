package rampshift.workers;

import java.io.IOException;
import rampshift.connections.BoundedBuffer;
import rampshift.policy.AttemptOutcome;

/** Reads the progress messages about one task, one a line, from the body of a worker's response. */
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
     * Takes the next byte of the body.
     *
     * @return the message that the byte completes; null if it completes none, or an empty line
     * @throws MalformedProgressException if the line is too long, no JSON object, or about another task
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
     * Ends the body; a last line may lack its line feed.
     *
     * @return the message in the last line; null if it is empty
     * @throws MalformedProgressException if the line is no JSON object, or about another task
     */
    ProgressMessage endLine() throws MalformedProgressException {
        int length = line.length();
        boolean blank = length == 0 || (length == 1 && line.endsWith((byte) '\r'));
        line.clear();
        return blank ? null : parse(length);
    }

    private ProgressMessage parse(int length) throws MalformedProgressException {
        ProgressMessage message;
        try {
            message = ProgressMessageParser.parse(line.array(), length, loadReportReader);
        } catch (IOException e) {
            throw new MalformedProgressException("a line that is no JSON object", AttemptOutcome.BROKEN);
        }
        if (!isAboutTask(message)) {
            throw new MalformedProgressException("a line for another task", AttemptOutcome.BROKEN);
        }
        return message;
    }

    /** A message without an id is accepted unless it may be the last one about an earlier task. */
    private boolean isAboutTask(ProgressMessage message) {
        if (message.taskId() == null) {
            return message.state() != TaskState.DONE && message.state() != TaskState.RETURNED;
        }
        return message.taskId().equals(taskId);
    }
}
