/**
 * The control state of a daemon. One thread reads the control log, applies its records, writes new ones and publishes
 * snapshots to traffic threads.
 */
package org.ragwortpitch.control;
