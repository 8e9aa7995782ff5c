package rampshift.membership;

/**
 * Who a dispatcher says that it is. Life: a number drawn at each start of a process, which tells two
 * processes of one
 * name apart. Incarnation: rises whenever the name has something new to say of itself, over restarts too.
 * At: address and port where its fellows reach it. Started: Unix time in milliseconds by its own clock, for
 * people to
 * read only; nothing is decided by it.
 */
public record MemberIdentity(String name, long incarnation, long life, String at, String site, String build,
        long startedMs,
        Doing doing) {
    /** What the process is about. */
    public enum Doing { JOINING, SERVING, STOPPING }

    /** No incarnation lies above: one that did could not be answered by its owner. */
    public static final long MOST = 1L << 62;

    MemberIdentity again(long higher) {
        return new MemberIdentity(name, higher, life, at, site, build, startedMs, doing);
    }

    MemberIdentity doing(Doing now, long higher) {
        return new MemberIdentity(name, higher, life, at, site, build, startedMs, now);
    }
}
