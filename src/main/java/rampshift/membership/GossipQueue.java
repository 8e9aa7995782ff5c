package rampshift.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToIntFunction;

/**
 * Items to piggyback on outgoing datagrams, each a limited number of times and the least transmitted first. A
 * new item replaces the one with the same key.
 */
final class GossipQueue<T> {
    private static final class Entry<T> {
        final T item;
        int transmissions;

        Entry(T item) {
            this.item = item;
        }
    }

    private final Map<String, Entry<T>> entries = new LinkedHashMap<>();

    void put(String key, T item) {
        entries.remove(key);
        entries.put(key, new Entry<>(item));
    }

    /**
     * Takes the items for one datagram and counts a transmission of each.
     *
     * @param capacityBytes    the bytes available in the datagram
     * @param maxTransmissions the number of transmissions after which an item is dropped
     * @param sizeOf           the encoded size of an item in bytes
     */
    List<T> take(int capacityBytes, int maxTransmissions, ToIntFunction<T> sizeOf) {
        List<T> taken = new ArrayList<>();
        int remainingBytes = capacityBytes;
        for (int transmissions = 0; transmissions < maxTransmissions && remainingBytes > 0; transmissions++) {
            Iterator<Entry<T>> iterator = entries.values().iterator();
            while (iterator.hasNext()) {
                Entry<T> entry = iterator.next();
                if (entry.transmissions != transmissions || taken.contains(entry.item)) {
                    continue;
                }
                int sizeBytes = sizeOf.applyAsInt(entry.item);
                if (sizeBytes > remainingBytes) {
                    continue;
                }
                remainingBytes -= sizeBytes;
                taken.add(entry.item);
                entry.transmissions++;
                if (entry.transmissions >= maxTransmissions) {
                    iterator.remove();
                }
            }
        }
        return taken;
    }
}
