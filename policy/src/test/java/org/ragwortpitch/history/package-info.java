/**
 * Random histories of daemons over one log: pauses, clock drift, lost, late and doubled appends, lagging reads,
 * outages, kills and restarts.
 */
package org.ragwortpitch.history;
