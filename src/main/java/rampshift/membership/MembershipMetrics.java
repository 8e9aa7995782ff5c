package rampshift.membership;

/** What a member has sent, taken and refused since its start. */
public final class MembershipMetrics {
    public long sent;
    public long sentBytes;
    public long taken;
    public long malformed;
    public long foreign;
    public long misdirected;
    public long noRoom;
    public long exchanges;
    public long refuted;
    public long accused;
    public long stalls;
}
