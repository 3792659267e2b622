/**
 * Soak tests: daemons in separate processes under random external faults, both consecutive and overlapping.
 */
package org.ragwortpitch.soak;
