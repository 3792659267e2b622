package org.ragwortpitch.usage;

import java.util.List;

/**
 * A closed window, whose figures never change. Lines of an earlier window are adjustments: they became known after that
 * window was closed.
 *
 * @param window       the window, as its start in milliseconds since the epoch
 * @param closedOffset the offset that froze it
 * @param lines        the figures
 * @param reported     whether the platform has acknowledged the report
 */
public record FrozenWindow(long window, long closedOffset, List<UsageLine> lines, boolean reported) {

    /**
     * Copies the list.
     */
    public FrozenWindow {
        lines = List.copyOf(lines);
    }

    /**
     * Tells this window as reported.
     *
     * @return the reported window
     */
    public FrozenWindow withReported() {
        return new FrozenWindow(window, closedOffset, lines, true);
    }
}
