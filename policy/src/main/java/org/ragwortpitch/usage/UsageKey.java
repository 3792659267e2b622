package org.ragwortpitch.usage;

import org.ragwortpitch.identity.AccountId;

/**
 * The key by which usage is aggregated. Keys are ordered by window, then account, then model.
 *
 * @param window  the window in which the responses completed, as its start in milliseconds since the epoch
 * @param account the client account
 * @param model   the model or service
 */
public record UsageKey(long window, AccountId account, String model) implements Comparable<UsageKey> {

    @Override
    public int compareTo(UsageKey other) {
        int byWindow = Long.compare(window, other.window);
        if (byWindow != 0) {
            return byWindow;
        }
        int byAccount = account.compareTo(other.account);
        return byAccount != 0 ? byAccount : model.compareTo(other.model);
    }
}
