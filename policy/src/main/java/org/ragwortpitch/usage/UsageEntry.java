package org.ragwortpitch.usage;

import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.RequestId;

/**
 * The usage of one completed response.
 *
 * @param account      the client account
 * @param request      the request's id; each request is counted only once
 * @param model        the model or service
 * @param window       the window in which the response completed, as its start in milliseconds since the epoch
 * @param promptTokens the prompt tokens, including cached ones
 * @param cachedTokens the prompt tokens that hit the endpoint's prefix cache
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
