package rampshift.connections;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the memory that the peers of all connections together make this process hold for one purpose, such
 * as incomplete responses. Each connection has a reservation. When the limit is exceeded, the reservations
 * that have held memory for the longest time are evicted: a peer that stalls holds it for longer than one
 * that sends or reads without a pause. Used on one thread.
 */
public final class MemoryBudget {
    private final long maxBytes;
    /** The reservations above 0 bytes, in the order in which they began to hold memory. */
    private final Set<Reservation> holders = new LinkedHashSet<>();
    private long reservedBytes;

    /**
     * Creates a budget without reservations.
     *
     * @param maxBytes the limit of all reservations together
     */
    public MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Creates a reservation of 0 bytes.
     *
     * @param onEvicted called when the reservation is reset to 0 bytes in favor of another one; the owner
     *     must drop the memory then
     */
    public Reservation newReservation(Runnable onEvicted) {
        return new Reservation(onEvicted);
    }

    /** Returns the size of all reservations together, in bytes. */
    public long reservedBytes() {
        return reservedBytes;
    }

    /** The memory that is held for one connection. */
    public final class Reservation {
        private final Runnable onEvicted;
        private int bytes;

        private Reservation(Runnable onEvicted) {
            this.onEvicted = onEvicted;
        }

        /**
         * Changes the reservation to a number of bytes, and evicts others that have held memory for longer if
         * the limit is exceeded.
         *
         * @return false if the limit is still exceeded, and this reservation has held memory for the longest
         *     time; it is then reset to 0 bytes, and the owner must drop the memory
         */
        public boolean resize(int newBytes) {
            set(newBytes);
            while (reservedBytes > maxBytes) {
                Reservation longest = holders.iterator().next();
                longest.release();
                if (longest == this) {
                    return false;
                }
                longest.onEvicted.run();
            }
            return true;
        }

        /** Resets the reservation to 0 bytes. */
        public void release() {
            set(0);
        }

        private void set(int newBytes) {
            reservedBytes += newBytes - bytes;
            bytes = newBytes;
            if (newBytes > 0) {
                holders.add(this);
            } else {
                holders.remove(this);
            }
        }
    }
}
