package org.ragwortpitch.edge.standin;

/**
 * Bytes that stand beside the answers on a connection.
 *
 * @param kind       what they are
 * @param back       answers back to the one that is copied, from 1
 * @param identified whether a copy keeps its attempt id
 * @param framing    of a copy
 * @param partial    the part of the bytes that is written, in thousandths
 */
public record ExtraBytes(Kind kind, int back, boolean identified, Framing framing, int partial) {

    /** What bytes beside the answers are. */
    public enum Kind {
        COPY,
        REFUSAL,
        INTERIM,
        JUNK
    }
}
