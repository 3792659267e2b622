/**
 * The daemon as a process on the users' platform: wiring, start, settings and graceful stop.
 */
package org.ragwortpitch.edge;
