/**
 * Simulated histories of daemons over one log, generated from a seed: process pauses, clock drift, lost, delayed and
 * duplicated appends, lagging reads, outages, crashes and restarts.
 */
package org.ragwortpitch.history;
