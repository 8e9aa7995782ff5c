package rampshift.leases;

/**
 * Something that operators are told of.
 *
 * @param lease name of the lease; empty where it is about this dispatcher's acceptor
 * @param type what has happened
 * @param token the fencing token at that time; 0 where it is about an acceptor
 * @param detail the holder, or "-" for none; of an acceptor its state or its set
 */
public record LeaseEvent(String lease, EventType type, long token, String detail) {
    static LeaseEvent ofAcceptor(EventType type, String detail) {
        return new LeaseEvent("", type, 0, detail);
    }
}
