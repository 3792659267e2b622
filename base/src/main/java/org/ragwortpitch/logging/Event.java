package org.ragwortpitch.logging;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

/**
 * Builder of a structured log line: the event's name, then key=value pairs. Values with spaces, quotes or control
 * characters are quoted and escaped, so that each line is exactly one event. Not thread-safe.
 */
public final class Event {

    /** Longer values are truncated. */
    private static final int MAX_VALUE_CHARACTERS = 500;

    private final StringBuilder line = new StringBuilder("event=");

    private Event(String name) {
        line.append(name);
    }

    /**
     * Starts an event.
     *
     * @param name the event's name, lower-case words joined by hyphens
     */
    public static Event of(String name) {
        return new Event(name);
    }

    /**
     * Appends a key=value pair.
     *
     * @param value logged by its {@code toString}; null as {@code null}
     * @return this event
     */
    public Event with(String key, Object value) {
        line.append(' ').append(key).append('=');
        appendValue(String.valueOf(value));
        return this;
    }

    /**
     * Logs this event at level INFO.
     */
    public void info(Logger logger) {
        logger.log(Level.INFO, line::toString);
    }

    /**
     * Logs this event at level WARNING, for an operator's attention.
     */
    public void warn(Logger logger) {
        logger.log(Level.WARNING, line::toString);
    }

    @Override
    public String toString() {
        return line.toString();
    }

    private void appendValue(String value) {
        String truncated = value.length() > MAX_VALUE_CHARACTERS ? value.substring(0, MAX_VALUE_CHARACTERS) : value;
        boolean plain = !truncated.isEmpty() && truncated.chars().allMatch(Event::isPlain);
        if (plain) {
            line.append(truncated);
            return;
        }
        line.append('"');
        truncated.chars().forEach(this::appendEscaped);
        line.append('"');
    }

    private static boolean isPlain(int character) {
        return character > ' ' && character < 127 && character != '"' && character != '=' && character != '\\';
    }

    private void appendEscaped(int character) {
        if (character == '"' || character == '\\') {
            line.append('\\').append((char) character);
        } else if (Character.isISOControl(character)) {
            line.append(String.format("\\u%04x", character));
        } else {
            line.append((char) character);
        }
    }
}
