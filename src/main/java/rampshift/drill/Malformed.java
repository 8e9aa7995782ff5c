package rampshift.drill;

/** Input that the wire does not allow. */
final class Malformed extends RuntimeException {
    private static final long serialVersionUID = 1L;

    Malformed(String what) {
        super(what);
    }
}
