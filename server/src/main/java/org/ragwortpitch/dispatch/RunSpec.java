package org.ragwortpitch.dispatch;

import org.ragwortpitch.configuration.PoolRule;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.RequestId;
import org.ragwortpitch.routing.Demand;

/**
 * What a model is to run.
 *
 * @param request         the request, made unique over client accounts
 * @param account         the client account
 * @param weight          the account's weight
 * @param requestClass    the class of request
 * @param priority        the priority, 0 being the most urgent
 * @param pool            the model's pool
 * @param prompt          the prompt's text
 * @param maxOutputTokens the most tokens to generate
 * @param demand          what it asks of an endpoint
 * @param deadlineMillis  when it is too late, of the monotonic clock
 */
public record RunSpec(
        RequestId request,
        AccountId account,
        long weight,
        String requestClass,
        int priority,
        PoolRule pool,
        String prompt,
        int maxOutputTokens,
        Demand demand,
        long deadlineMillis) {}
