package org.ragwortpitch.usage;

import org.ragwortpitch.identity.AccountId;

/**
 * What usage is added up by.
 *
 * @param window  the window in which the answers finished, as its start in milliseconds since the epoch
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
