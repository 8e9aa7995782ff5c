package rampshift.clients;

/** Limits the total memory for requests that are being received on all connections. */
final class ReceiveBudget {
    private final long maxBytes;
    private long reservedBytes;

    ReceiveBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns a reservation of 0 bytes. */
    Reservation newReservation() {
        return new Reservation();
    }

    /** The memory that one connection has reserved. */
    final class Reservation {
        private int bytes;

        /**
         * Sets the reservation to a number of bytes, and returns false if it is above 0 and the budget is
         * exceeded.
         */
        boolean resize(int newBytes) {
            reservedBytes += newBytes - bytes;
            bytes = newBytes;
            return newBytes <= 0 || reservedBytes <= maxBytes;
        }

        void release() {
            reservedBytes -= bytes;
            bytes = 0;
        }
    }
}
