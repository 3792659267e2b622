package org.ragwortpitch.overflow;

import java.util.Optional;
import java.util.Set;
import org.ragwortpitch.identity.FailureDomain;

/**
 * The failure domains that one request prefers. These are preferences: a request that would miss its target under them
 * is placed among all engines.
 *
 * @param ownOnly whether the request prefers engines of its own domain, or of the target, to those of others
 * @param target  the domain that the request leaves for; empty if it stays
 * @param avoided domains that the request leaves to their own demand
 */
public record RequestDomains(boolean ownOnly, Optional<FailureDomain> target, Set<FailureDomain> avoided) {

    /** Any domain, at the fixed cost of traffic between domains. */
    public static final RequestDomains ANY = new RequestDomains(false, Optional.empty(), Set.of());

    /**
     * Returns whether the request may go to any domain.
     */
    public boolean isAny() {
        return !ownOnly && avoided.isEmpty();
    }
}
