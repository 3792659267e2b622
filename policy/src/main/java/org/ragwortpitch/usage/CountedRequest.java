package org.ragwortpitch.usage;

import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.RequestId;

/**
 * A counted request, retained to detect repeated records of it.
 *
 * @param account the client account
 * @param request the request's id
 * @param window  the latest window of any entry when the request was counted, as its start in milliseconds since the
 *                epoch
 * @param offset  the log offset of the record that counted it
 */
public record CountedRequest(AccountId account, RequestId request, long window, long offset) {}
