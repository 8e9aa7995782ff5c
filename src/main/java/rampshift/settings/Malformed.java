package rampshift.settings;

/** Input that the wire does not allow. */
public final class Malformed extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public Malformed(String what) {
        super(what);
    }
}
