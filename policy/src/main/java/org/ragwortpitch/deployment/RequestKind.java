package org.ragwortpitch.deployment;

/**
 * What may be repeated of a route's requests.
 */
public enum RequestKind {
    /** May run any number of times. */
    SAFE,
    /** Runs at most once for each attempt of the caller. */
    UNSAFE,
    /** A stream of events; runs at most once unless the route lets streams be resumed. */
    STREAM
}
