package org.ragwortpitch.control;

/**
 * The platform acknowledged the report of a window.
 *
 * @param window the window
 * @param term   the term under which it was sent
 */
record ReportDone(long window, long term) implements ControlMessage {}
