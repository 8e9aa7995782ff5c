package rampshift.membership;

/**
 * An enum constant with a fixed code on the wire, which does not depend on the order of the constants.
 */
interface WireCoded {
    /** Returns the code of this constant, from 0 to 127. */
    byte wireCode();
}
