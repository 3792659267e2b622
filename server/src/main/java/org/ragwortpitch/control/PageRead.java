package org.ragwortpitch.control;

import org.ragwortpitch.platform.LogPage;

/**
 * A read of the log was answered.
 *
 * @param sentMillis when the read was sent, of the monotonic clock
 * @param page       the page
 */
record PageRead(long sentMillis, LogPage page) implements ControlMessage {}
