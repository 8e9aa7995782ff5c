package rampshift.leases;

/**
 * An event of a lease or an acceptor, reported to operators.
 *
 * @param lease name of the lease; empty for an event of this dispatcher's acceptor
 * @param type type of the event
 * @param token the fencing token at that time; 0 for an event of an acceptor
 * @param detail the holder, or "-" for none; for an acceptor its state or its set
 */
public record LeaseEvent(String lease, EventType type, long token, String detail) {
    static LeaseEvent ofAcceptor(EventType type, String detail) {
        return new LeaseEvent("", type, 0, detail);
    }
}
