package org.ragwortpitch.usage;

import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.RequestId;

/**
 * The usage of one finished answer.
 *
 * @param account      the client account
 * @param request      the request, which is counted once only
 * @param model        the model or service
 * @param window       the window in which it finished, as its start in milliseconds since the epoch
 * @param promptTokens the prompt tokens, cached ones included
 * @param cachedTokens the prompt tokens found in the endpoint's prefix cache
 * @param outputTokens the generated tokens
 */
public record UsageEntry(
        AccountId account,
        RequestId request,
        String model,
        long window,
        long promptTokens,
        long cachedTokens,
        long outputTokens) {}
