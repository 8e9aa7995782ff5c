package rampshift.leases.host;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import rampshift.leases.store.RecordLog;
import rampshift.log.Log;

/**
 * Writes an acceptor's records on its own thread, and owns the record log. Records that arrive during a sync
 * share the next one. Listeners are called on the I/O thread; none is called after the disk has failed.
 */
final class RecordWriter {
    /** Called once all records that were written before the listener was added are on disk. */
    interface SyncListener {
        /** Receives the number of records that have ever been written to the directory. */
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

    /** The records and listeners that share one sync. */
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
    private Batch pendingBatch = new Batch();
    private boolean closed;
    private boolean failed;

    /**
     * Starts the thread.
     *
     * @param ioThread executor of the listeners
     * @param onFailure called once on that executor if the disk fails
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
            pendingBatch.records.add(new PendingRecord(key, value));
            notifyAll();
        }
    }

    synchronized void afterSync(SyncListener listener) {
        if (!failed) {
            pendingBatch.listeners.add(listener);
            notifyAll();
        }
    }

    /** Ends the thread once all pending records are written. */
    synchronized void close() {
        closed = true;
        notifyAll();
    }

    private synchronized void fail() {
        failed = true;
        pendingBatch = new Batch();
    }

    /** Waits for the next batch; returns an empty one once the writer is closed and nothing is pending. */
    private synchronized Batch next() throws InterruptedException {
        while (pendingBatch.isEmpty() && !closed) {
            wait();
        }
        Batch batch = pendingBatch;
        pendingBatch = new Batch();
        return batch;
    }

    private void run() {
        try (records) {
            for (Batch batch = next(); !batch.isEmpty(); batch = next()) {
                write(batch);
            }
        } catch (IOException e) {
            fail();
            // "keeper" is the operators' word for the acceptor. It stops voting; of lease requests only Hello
            // is still answered. The dispatcher renews its leases while the other acceptors form a quorum.
            Log.warn("leases", "keeper", "stops", "why", e.getMessage());
            ioThread.execute(onFailure);
        } catch (RejectedExecutionException e) {
            // The dispatcher has stopped: no listener waits for these records.
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
