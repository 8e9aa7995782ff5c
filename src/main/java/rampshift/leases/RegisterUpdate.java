package rampshift.leases;

/**
 * What somebody wants of a register, as a value: it can be tried again and again, and knows when it has been
 * done.
 *
 * @param seen of TAKE: the value that was seen to stand; only this one is taken over
 * @param by whose intent
 * @param life its process
 * @param token of RENEW and RELEASE: the token held
 * @param stamp of TAKE, RENEW and RELEASE: a number never used before by this process for this register
 * @param micros the term, or for REST how long nobody is to hold it
 * @param text of RENEW: the note, null to leave it; of WANT: who; of KEEPERS: the keepers that follow on
 * those seen
 */
record RegisterUpdate(Kind kind, LeaseRecord seen, String by, long life, long token, long stamp, long micros,
        String text) {

    /** Of WANT: whoever comes. */
    static final String ANYBODY = "*";

    enum Kind { TAKE, RENEW, RELEASE, REST, WANT, KEEPERS, COPY }

    /**
     * What the register is to hold then; null where this can't be had; the same where it has been done
     * already.
     */
    LeaseRecord on(LeaseRecord now) {
        boolean mine = now.of(life) && now.token() == token;
        return switch (kind) {
            case TAKE -> done(now) ? now
                    : !now.equals(seen) ? null
                            : new LeaseRecord(now.version() + 1, now.token() + 1, by, life, stamp, micros, "",
                                    0,
                                    now.note());
            case RENEW -> done(now) ? now
                    : !mine ? null
                            : new LeaseRecord(now.version() + 1, token, by, life, stamp, micros, now.wanted(),
                                    now.rest(),
                                    text == null ? now.note() : text);
            case RELEASE -> !mine ? null
                    : new LeaseRecord(now.version() + 1, token, "", 0, stamp, now.rest() > 0 ? now.rest()
                            : now.wanted().isEmpty() || now.wanted().equals(ANYBODY) ? 0 : now.term(),
                            now.wanted(), 0, now.note());
            case REST -> now.free()
                    ? new LeaseRecord(now.version() + 1, now.token(), "", 0, 0, micros, "", 0, now.note())
                    : new LeaseRecord(now.version() + 1, now.token(), now.holder(), now.life(), now.stamp(),
                            now.term(), "", micros,
                            now.note());
            case WANT -> now.free()
                    ? new LeaseRecord(now.version() + 1, now.token(), "", 0, 0, micros, text, 0, now.note())
                    : new LeaseRecord(now.version() + 1, now.token(), now.holder(), now.life(), now.stamp(),
                            now.term(), text,
                            now.rest(), now.note());
            case KEEPERS -> now.note().equals(text) ? now
                    : !now.equals(seen) ? null
                            : new LeaseRecord(now.version() + 1, now.token(), "", 0, 0, 0, "", 0, text);
            case COPY -> now;
        };
    }

    private boolean done(LeaseRecord now) {
        return now.of(life) && now.stamp() == stamp;
    }
}
