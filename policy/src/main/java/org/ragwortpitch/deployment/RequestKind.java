package org.ragwortpitch.deployment;

/**
 * Whether the requests of a route may be retried.
 */
public enum RequestKind {
    /** May run any number of times. */
    SAFE,
    /** Runs at most once per attempt of the caller. */
    UNSAFE,
    /** A stream of events; runs at most once unless the route allows streams to resume. */
    STREAM
}
