package org.ragwortpitch.control;

/**
 * The platform acknowledged the report of a usage window.
 *
 * @param window the number of the window
 * @param term   the term of the usage duty under which the report was sent
 */
record ReportDone(long window, long term) implements ControlMessage {}
