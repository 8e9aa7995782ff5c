package rampshift.membership;

/** Lets tests of other packages add notices, which only a membership does otherwise. */
public final class DrainNoticesAccess {
    private DrainNoticesAccess() {}

    /** Adds a notice unless one as new is there already; returns whether it was added. */
    public static boolean add(DrainNotices notices, DrainNotice notice) {
        return notices.add(notice);
    }
}
