package rampshift.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * What still rides on datagrams: the least told first, each so many times; a newer word takes an older one's
 * place.
 */
final class GossipQueue<T> {
    private static final class Entry<T> {
        final T word;
        int told;

        Entry(T word) {
            this.word = word;
        }
    }

    private final Map<String, Entry<T>> entries = new LinkedHashMap<>();

    void put(String key, T word) {
        entries.remove(key);
        entries.put(key, new Entry<>(word));
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** As many as fit in so many bytes. */
    List<T> take(int room, int tellings, ToIntFunction<T> size) {
        List<T> taken = new ArrayList<>();
        for (int round = 0; round < tellings && room > 0; round++) {
            for (Iterator<Entry<T>> i = entries.values().iterator(); i.hasNext();) {
                Entry<T> e = i.next();
                if (e.told != round || taken.contains(e.word)) {
                    continue;
                }
                int bytes = size.applyAsInt(e.word);
                if (bytes > room) {
                    continue;
                }
                room -= bytes;
                taken.add(e.word);
                if (++e.told >= tellings) {
                    i.remove();
                }
            }
        }
        return taken;
    }
}
