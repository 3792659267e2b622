package org.ragwortpitch.soak;

/**
 * What an endpoint writes a second time after an answer.
 */
enum ExtraAnswer {
    /** Nothing. */
    NONE,
    /** The whole answer. */
    WITH_ID,
    /** The whole answer without its attempt id. */
    WITHOUT_ID,
    /** The answer, with or without its attempt id, up to some byte. */
    CUT,
    /** Any of the others, by turns at random. */
    MIXED
}
