package org.ragwortpitch.usage;

import java.util.List;

/**
 * The state of usage at an offset, for checkpoints and for showing.
 *
 * @param latestWindow the latest window of any entry
 * @param closedWindow the latest closed window
 * @param openLines    usage that is in no closed window yet
 * @param frozen       the closed windows that are remembered
 * @param counted      the requests that are remembered, oldest first
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
