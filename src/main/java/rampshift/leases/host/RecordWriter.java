package rampshift.leases.host;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import rampshift.leases.store.RecordLog;
import rampshift.log.Log;

/**
 * Writes an acceptor's records on a thread of its own, and owns them: whatever has come since the last write
 * shares one sync. Listeners are called on the I/O thread. Once the disk has failed no listener is called any
 * more.
 */
final class RecordWriter {
    /** Called once all records that came before it are on disk. */
    interface SyncListener {
        /** Takes the number of records that the directory has held. */
        void onSynced(long recordCount);
    }

    private static final class PendingRecord {
        private final String key;
        private final byte[] value;

        PendingRecord(String key, byte[] value) {
            this.key = key;
            this.value = value;
        }
    }

    /** What shares one sync. */
    private static final class Batch {
        private final List<PendingRecord> records = new ArrayList<>();
        private final List<SyncListener> listeners = new ArrayList<>();

        boolean isEmpty() {
            return records.isEmpty() && listeners.isEmpty();
        }
    }

    private final RecordLog records;
    private final Executor ioThread;
    private final Runnable onFailure;
    private Batch waiting = new Batch();
    private boolean closed;
    private boolean failed;

    /**
     * Starts the thread.
     *
     * @param ioThread where listeners are called
     * @param onFailure called there once, when nothing can be written any more
     */
    RecordWriter(RecordLog records, Executor ioThread, Runnable onFailure) {
        this.records = records;
        this.ioThread = ioThread;
        this.onFailure = onFailure;
        Thread thread = new Thread(this::run, "leases-disk");
        thread.setDaemon(true);
        thread.start();
    }

    synchronized void write(String key, byte[] value) {
        if (!failed) {
            waiting.records.add(new PendingRecord(key, value));
            notifyAll();
        }
    }

    synchronized void afterSync(SyncListener listener) {
        if (!failed) {
            waiting.listeners.add(listener);
            notifyAll();
        }
    }

    /** Ends the thread once all that waits is written. */
    synchronized void close() {
        closed = true;
        notifyAll();
    }

    private synchronized void fail() {
        failed = true;
        waiting = new Batch();
    }

    /** Waits for the next batch; an empty one where there is none any more. */
    private synchronized Batch next() throws InterruptedException {
        while (waiting.isEmpty() && !closed) {
            wait();
        }
        Batch batch = waiting;
        waiting = new Batch();
        return batch;
    }

    private void run() {
        try (records) {
            for (Batch batch = next(); !batch.isEmpty(); batch = next()) {
                write(batch);
            }
        } catch (IOException e) {
            fail();
            Log.warn("leases", "keeper", "stops", "why", e.getMessage());
            ioThread.execute(onFailure);
        } catch (RejectedExecutionException e) {
            // The dispatcher has stopped: nobody waits for it any more.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(Batch batch) throws IOException {
        for (PendingRecord pending : batch.records) {
            records.add(pending.key, pending.value);
        }
        if (!batch.records.isEmpty()) {
            records.sync();
        }
        long recordCount = records.recordCount();
        ioThread.execute(() -> batch.listeners.forEach(listener -> listener.onSynced(recordCount)));
    }
}
