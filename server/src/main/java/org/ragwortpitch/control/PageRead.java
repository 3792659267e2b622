package org.ragwortpitch.control;

import org.ragwortpitch.platform.LogPage;

/**
 * A page of the log was read.
 *
 * @param sentMillis when the read was sent, of the monotonic clock
 * @param page       the page
 */
record PageRead(long sentMillis, LogPage page) implements ControlMessage {}
