package rampshift.membership;

/** Lets tests of other packages add notices through a package-private method. */
public final class DrainNoticesAccess {
    private DrainNoticesAccess() {}

    /** Adds a notice if it is newer than the known one; returns whether it was added. */
    public static boolean add(DrainNotices notices, DrainNotice notice) {
        return notices.add(notice);
    }
}
