package org.ragwortpitch.soak;

/**
 * How the body of a request is sent.
 */
enum RequestFraming {
    /** A GET without a body. */
    NO_BODY,
    /** With its length in the head. */
    LENGTH,
    /** In chunks. */
    CHUNKED
}
