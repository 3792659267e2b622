package org.ragwortpitch.control;

/**
 * The platform did not acknowledge the report of a window.
 *
 * @param window the window
 * @param reason why
 */
record ReportFailed(long window, String reason) implements ControlMessage {}
