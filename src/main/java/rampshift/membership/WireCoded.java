package rampshift.membership;

/**
 * An enum constant with a fixed code on the wire, which stays as it is when constants are added or reordered.
 */
interface WireCoded {
    /** The code of this constant, from 0 to 127. */
    byte wireCode();
}
