package rampshift.leases;

/** The types of events of leases and acceptors, with their words in logs and event logs. */
public enum EventType {
    /** This dispatcher acquired the lease. */
    ACQUIRED("holds"),
    /** This dispatcher stops acting and releases the lease. */
    RELEASED("gives"),
    /** This dispatcher could not renew the lease in time and stops acting. */
    EXPIRED("lapsed"),
    /** A renewal found that this process no longer holds the lease. */
    LOST("taken"),
    /** Another holder, or a free lease, was observed. */
    HOLDER_OBSERVED("seen"),
    /** This dispatcher's acceptor has entered the state in the detail. */
    ACCEPTOR_STATE("keeper"),
    /** This dispatcher's acceptor has installed the acceptor set in the detail. */
    ACCEPTOR_SET("keepers"),
    /** A reconfiguration is complete. */
    RECONFIGURED("changed"),
    /** The requested reconfiguration would change nothing. */
    RECONFIGURATION_UNNEEDED("unchanged"),
    /** A reconfiguration could not begin in time. */
    RECONFIGURATION_FAILED("given up");

    private final String word;

    EventType(String word) {
        this.word = word;
    }

    /** Returns the word in logs and event logs. */
    public String word() {
        return word;
    }
}
