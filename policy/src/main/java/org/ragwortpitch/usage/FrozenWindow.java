package org.ragwortpitch.usage;

import java.util.List;

/**
 * A closed window, whose figures never change. Lines with the key of an earlier window are adjustments: their usage was
 * recorded after that window had been closed.
 *
 * @param window       the window, as its start in milliseconds since the epoch
 * @param closedOffset the log offset of the record that closed the window
 * @param lines        the usage of the window and the adjustments of earlier ones
 * @param reported     whether the platform has acknowledged the report
 */
public record FrozenWindow(long window, long closedOffset, List<UsageLine> lines, boolean reported) {

    /**
     * Copies the lines.
     */
    public FrozenWindow {
        lines = List.copyOf(lines);
    }

    /**
     * Returns a copy that is marked as reported.
     */
    public FrozenWindow withReported() {
        return new FrozenWindow(window, closedOffset, lines, true);
    }
}
