package rampshift.leases;

/** Output of an acceptor that waits for its disk. */
sealed interface PendingOutput {
    /** A record that is not on disk yet. */
    final class Write implements PendingOutput {
        private final String key;
        private final byte[] value;

        Write(String key, byte[] value) {
            this.key = key;
            this.value = value;
        }

        String key() {
            return key;
        }

        byte[] value() {
            return value;
        }
    }

    /** A message that is sent once everything before it is on disk. */
    record Send<M>(String to, M message) implements PendingOutput {}
}
