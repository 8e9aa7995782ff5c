package rampshift.connections;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the memory that the peers of all connections together make this process hold for one purpose, such
 * as incomplete responses. Each connection has a reservation. When the limit is exceeded, the reservations
 * that have held memory for the longest time are evicted, unless they are pinned: a peer that stalls holds it
 * for longer than one that sends or reads without a pause. Used on one thread.
 */
public final class MemoryBudget {
    private final long maxBytes;
    /** The reservations that may be evicted, in the order in which they began to hold memory. */
    private final Set<Reservation> evictable = new LinkedHashSet<>();
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
         * the limit is exceeded. It may be evicted itself from now on.
         *
         * @return false if the limit is still exceeded, and no other reservation can be evicted that has held
         *     memory for longer; this one is then reset to 0 bytes, and the owner must drop the memory
         */
        public boolean resize(int newBytes) {
            return resize(newBytes, newBytes > 0);
        }

        /** Does the same as {@link #resize}, but the reservation is pinned: it can't be evicted. */
        public boolean resizeAndPin(int newBytes) {
            return resize(newBytes, false);
        }

        private boolean resize(int newBytes, boolean mayBeEvicted) {
            set(newBytes, mayBeEvicted);
            while (reservedBytes > maxBytes) {
                Reservation longest = evictable.isEmpty() ? this : evictable.iterator().next();
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
            set(0, false);
        }

        private void set(int newBytes, boolean mayBeEvicted) {
            reservedBytes += newBytes - bytes;
            bytes = newBytes;
            if (mayBeEvicted) {
                evictable.add(this);
            } else {
                evictable.remove(this);
            }
        }
    }
}
