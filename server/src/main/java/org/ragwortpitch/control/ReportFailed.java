package org.ragwortpitch.control;

/**
 * The platform refused the report of a usage window or did not acknowledge it.
 *
 * @param window the number of the window
 * @param reason the failure
 */
record ReportFailed(long window, String reason) implements ControlMessage {}
