package rampshift.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The news that is in force, at most one of each worker; the oldest goes where there is no room. */
public final class DrainNotices {
    private final Map<String, DrainNotice> all = new LinkedHashMap<>();

    /** False if it is old. */
    boolean put(DrainNotice news) {
        DrainNotice had = all.get(news.worker());
        if (had != null && !news.over(had)) {
            return false;
        }
        all.remove(news.worker());
        all.put(news.worker(), news);
        if (all.size() > Codec.MOST_NEWS) {
            all.remove(all.keySet().iterator().next());
        }
        return true;
    }

    /** What is in force of a worker; null where nothing is. */
    public DrainNotice of(String worker) {
        return all.get(worker);
    }

    List<DrainNotice> all() {
        return new ArrayList<>(all.values());
    }
}
