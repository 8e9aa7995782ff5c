package rampshift.membership;

/** Lets stories of other packages put news where only a roll does. */
public final class DrainNoticesAccess {
    private DrainNoticesAccess() {}

    public static void put(DrainNotices bulletin, DrainNotice news) {
        bulletin.put(news);
    }
}
