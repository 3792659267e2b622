package org.ragwortpitch.scenarios;

/**
 * The text of a streamed answer.
 */
record StreamedText(String text, boolean finished) {}
