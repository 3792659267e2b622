package org.ragwortpitch.usage;

import java.util.List;

/**
 * The usage state at a log offset, for checkpoints and for display.
 *
 * @param latestWindow the latest window of any counted entry
 * @param closedWindow the latest closed window
 * @param openLines    usage that is in no closed window yet
 * @param frozen       the retained closed windows
 * @param counted      the retained counted requests, oldest first
 */
public record UsageState(
        long latestWindow,
        long closedWindow,
        List<UsageLine> openLines,
        List<FrozenWindow> frozen,
        List<CountedRequest> counted) {

    /**
     * Copies the lists.
     */
    public UsageState {
        openLines = List.copyOf(openLines);
        frozen = List.copyOf(frozen);
        counted = List.copyOf(counted);
    }
}
