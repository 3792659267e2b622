package org.ragwortpitch.usage;

import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.RequestId;

/**
 * A request that was counted, remembered so that it is not counted again.
 *
 * @param account the client account
 * @param request the request
 * @param window  the window in which it finished
 */
public record CountedRequest(AccountId account, RequestId request, long window) {}
