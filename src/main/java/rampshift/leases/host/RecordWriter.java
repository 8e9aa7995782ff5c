package rampshift.leases.host;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import rampshift.leases.store.RecordLog;
import rampshift.log.Log;

/**
 * Writes a keeper's records on a thread of its own: all that has come since the last write goes in one. What
 * waits for
 * them is told on the thread that decides. Where the disk fails nothing is told any more.
 */
final class RecordWriter {
    /** Told once all that came before is on disk, with how many records it has held. */
    interface Synced {
        void on(long position);
    }

    private record Entry(String key, byte[] value, Synced then) {}

    private final RecordLog records;
    private final Executor decides;
    private final Runnable failed;
    private final Thread thread;
    private List<Entry> waiting = new ArrayList<>();
    private boolean closed;
    private boolean dead;

    /** Decides: where what waits is told. Failed: told there once, when nothing can be written any more. */
    RecordWriter(RecordLog records, Executor decides, Runnable failed) {
        this.records = records;
        this.decides = decides;
        this.failed = failed;
        thread = new Thread(this::work, "leases-disk");
        thread.setDaemon(true);
        thread.start();
    }

    synchronized void put(String key, byte[] value) {
        add(new Entry(key, value, null));
    }

    synchronized void then(Synced then) {
        add(new Entry(null, null, then));
    }

    private void add(Entry entry) {
        if (!dead) {
            waiting.add(entry);
            notifyAll();
        }
    }

    private synchronized void dies() {
        dead = true;
        waiting = List.of();
    }

    synchronized void close() {
        closed = true;
        notifyAll();
    }

    private synchronized List<Entry> next() throws InterruptedException {
        while (waiting.isEmpty() && !closed) {
            wait();
        }
        List<Entry> all = waiting;
        waiting = new ArrayList<>();
        return all;
    }

    private void work() {
        try (records) {
            for (List<Entry> all = next(); !all.isEmpty(); all = next()) {
                boolean any = false;
                for (Entry e : all) {
                    if (e.key != null) {
                        records.add(e.key, e.value);
                        any = true;
                    }
                }
                if (any) {
                    records.sync();
                }
                long position = records.position();
                List<Synced> told = all.stream().filter(e -> e.then != null).map(Entry::then).toList();
                decides.execute(() -> told.forEach(t -> t.on(position)));
            }
        } catch (IOException e) {
            dies();
            Log.warn("leases", "keeper", "stops", "why", e.getMessage());
            decides.execute(failed);
        } catch (RejectedExecutionException e) {
            // The dispatcher has ended: nobody waits for it any more.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
