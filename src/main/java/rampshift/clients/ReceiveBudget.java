package rampshift.clients;

/** Bounds the memory for requests that are being received, over all connections. */
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

    /** The part of the budget that one connection has reserved. */
    final class Reservation {
        private int bytes;

        /** Changes the reservation to so many bytes, and returns false if the budget is exceeded by it. */
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
