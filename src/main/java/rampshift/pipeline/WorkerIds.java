package rampshift.pipeline;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.zip.CRC32;

/**
 * Maps the uids of workers to the numbers by which the dispatch policy identifies them. A number depends on
 * the uid alone, so that it is the same at every dispatcher, unless two uids have the same hash.
 */
final class WorkerIds {
    private static final int LOW_BITS = 20;

    private final Map<String, Long> numbersByUid = new HashMap<>();
    private final Map<Long, String> uidsByNumber = new HashMap<>();

    /** Returns the number of a worker; always the same for the same uid. */
    long number(String uid) {
        Long known = numbersByUid.get(uid);
        if (known != null) {
            return known;
        }
        long number = hash(uid);
        while (uidsByNumber.containsKey(number)) {
            number++;
        }
        uidsByNumber.put(number, uid);
        numbersByUid.put(uid, number);
        return number;
    }

    /** Forgets a worker. If its uid is used again, it gets a number as if it were new. */
    void forget(long number) {
        numbersByUid.remove(uidsByNumber.remove(number));
    }

    private static long hash(String uid) {
        CRC32 crc = new CRC32();
        crc.update(uid.getBytes(StandardCharsets.UTF_8));
        long high = crc.getValue() << LOW_BITS;
        crc.update(uid.length());
        return high ^ crc.getValue();
    }
}
