package rampshift.membership;

import rampshift.time.Moment;

/** Carries out what {@link SwimMembership} decides. */
public interface MembershipOutput {
    /** Sends a datagram; it may be lost. */
    void sendDatagram(String address, byte[] datagram);

    /**
     * Sends a sync request over a stream. The response, if any, goes to {@link
     * SwimMembership#onSyncResponse}.
     */
    void requestSync(String address, byte[] request);

    /** Calls {@link SwimMembership#onWake} at that time, in place of any earlier request. */
    void wakeAt(Moment when);

    /** Tells of something that was learnt about the fleet. */
    void onEvent(MembershipEvent event);

    /** Tells of a drain notice from another member that was not known here. */
    void onDrainNotice(DrainNotice notice);
}
