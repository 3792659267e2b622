package org.ragwortpitch.scenarios;

/**
 * The text of a streamed answer.
 *
 * @param finished whether the end of the stream was received
 */
record StreamedText(String text, boolean finished) {}
