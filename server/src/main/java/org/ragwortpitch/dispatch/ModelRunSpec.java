package org.ragwortpitch.dispatch;

import org.ragwortpitch.configuration.PoolRule;
import org.ragwortpitch.identity.AccountId;
import org.ragwortpitch.identity.RequestId;
import org.ragwortpitch.routing.RequestCost;

/**
 * The parameters of a model run.
 *
 * @param request         the request's identifier, unique across client accounts
 * @param account         the client account
 * @param weight          the account's weight in the fair queue
 * @param requestClass    the class of request
 * @param priority        the priority, 0 being the most urgent
 * @param pool            the model's pool
 * @param prompt          the prompt's text
 * @param maxOutputTokens the maximum number of tokens to generate
 * @param demand          the estimated cost in tokens, and the prompt's prefix blocks
 * @param deadlineMillis  the deadline, in milliseconds of the monotonic clock
 */
public record ModelRunSpec(
        RequestId request,
        AccountId account,
        long weight,
        String requestClass,
        int priority,
        PoolRule pool,
        String prompt,
        int maxOutputTokens,
        RequestCost demand,
        long deadlineMillis) {}
