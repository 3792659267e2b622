package org.ragwortpitch.edge.standin;

/**
 * How a response states where its body ends.
 */
public enum Framing {
    LENGTH,
    CHUNKED,
    WITHOUT_LENGTH,
    LENGTH_TOO_LONG,
    LENGTH_TOO_SHORT
}
