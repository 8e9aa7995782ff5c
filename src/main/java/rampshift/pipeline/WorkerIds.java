package rampshift.pipeline;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.zip.CRC32;

/** The number by which the module knows a worker: made of its uid alone, so alike at every dispatcher. */
final class WorkerIds {
    private final Map<String, Long> numbers = new HashMap<>();
    private final Map<Long, String> taken = new HashMap<>();

    long number(String uid) {
        Long known = numbers.get(uid);
        if (known != null) {
            return known;
        }
        CRC32 crc = new CRC32();
        crc.update(uid.getBytes(StandardCharsets.UTF_8));
        long number = crc.getValue() << 20;
        crc.update(uid.length());
        number ^= crc.getValue();
        while (taken.containsKey(number)) {
            number++;
        }
        taken.put(number, uid);
        numbers.put(uid, number);
        return number;
    }
}
