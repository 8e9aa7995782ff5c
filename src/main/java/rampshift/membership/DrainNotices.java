package rampshift.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The newest drain notice of each worker. Beyond {@link Codec#MAX_DRAIN_NOTICES}, the least recently added
 * notice is dropped.
 */
public final class DrainNotices {
    private final Map<String, DrainNotice> byWorker = new LinkedHashMap<>();

    /** Adds a notice if it is newer than the known one; returns whether it was added. */
    boolean add(DrainNotice notice) {
        DrainNotice known = byWorker.get(notice.worker());
        if (known != null && !notice.supersedes(known)) {
            return false;
        }
        byWorker.remove(notice.worker());
        byWorker.put(notice.worker(), notice);
        if (byWorker.size() > Codec.MAX_DRAIN_NOTICES) {
            byWorker.remove(byWorker.keySet().iterator().next());
        }
        return true;
    }

    /** Returns the newest notice of a worker, or null if there is none. */
    public DrainNotice get(String worker) {
        return byWorker.get(worker);
    }

    /** Returns all notices in the order in which they were added. */
    List<DrainNotice> all() {
        return new ArrayList<>(byWorker.values());
    }
}
