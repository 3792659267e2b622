package org.ragwortpitch.edge.control;

/**
 * A successful reading of a topic.
 *
 * @param sentMillis when its call was sent, in milliseconds of the monotonic clock: it proves what the topic held then,
 *                   however late the answer was handled
 * @param continuous whether it shows all records since the previous reading, rather than only the newest of each key
 */
record TopicReading(long sentMillis, boolean continuous) {}
