package rampshift.membership;

import rampshift.time.Moment;

/** Carries out what {@link SwimMembership} decides. */
public interface MembershipOutput {
    /** Sends a datagram, which may be lost. */
    void sendDatagram(String address, byte[] datagram);

    /**
     * Sends a sync request over a stream and passes the response, if any, to {@link
     * SwimMembership#onSyncResponse}.
     */
    void requestSync(String address, byte[] request);

    /** Schedules a call of {@link SwimMembership#onWake}, in place of any previously scheduled one. */
    void wakeAt(Moment when);

    /** Reports a change in the fleet. */
    void onEvent(MembershipEvent event);

    /** Reports a new drain notice from another member. */
    void onDrainNotice(DrainNotice notice);
}
