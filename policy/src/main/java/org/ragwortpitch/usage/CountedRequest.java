package org.ragwortpitch.usage;

import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.RequestId;

/**
 * A request that was counted, remembered so that it is not counted again.
 *
 * @param account the client account
 * @param request the request
 * @param window  the latest window when it was counted
 * @param offset  the offset of the record that counted it
 */
public record CountedRequest(AccountId account, RequestId request, long window, long offset) {}
