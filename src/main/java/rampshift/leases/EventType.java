package rampshift.leases;

/** What can happen to a lease or an acceptor, with the word that stands for it in logs and event logs. */
public enum EventType {
    /** This dispatcher acquired the lease. */
    ACQUIRED("holds"),
    /** It stops acting and releases the lease. */
    RELEASED("gives"),
    /** It could not renew in time and stops acting. */
    EXPIRED("lapsed"),
    /** A renewal found that another dispatcher has acquired the lease. */
    LOST("taken"),
    /** Another holder was observed. */
    HOLDER_OBSERVED("seen"),
    /** This dispatcher's acceptor has entered the state named by the detail. */
    ACCEPTOR_STATE("keeper"),
    /** This dispatcher's acceptor goes by the set in the detail. */
    ACCEPTOR_SET("keepers"),
    /** A reconfiguration is complete. */
    RECONFIGURED("changed"),
    /** A reconfiguration was asked for that changes nothing. */
    RECONFIGURATION_UNNEEDED("unchanged"),
    /** A reconfiguration could not begin in time. */
    RECONFIGURATION_FAILED("given up");

    private final String word;

    EventType(String word) {
        this.word = word;
    }

    /** The word in logs and event logs. */
    public String word() {
        return word;
    }
}
