package org.ragwortpitch.homes;

import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.ragwortpitch.identity.FailureDomain;
import org.ragwortpitch.identity.Region;

/**
 * The region of each failure domain, as the settings state it.
 */
public record Regions(Map<FailureDomain, Region> byDomain) {

    /**
     * Copies the regions.
     */
    public Regions {
        byDomain = Map.copyOf(byDomain);
    }

    /**
     * Returns the region of a failure domain; empty if it is unknown.
     */
    public Optional<Region> of(FailureDomain domain) {
        return Optional.ofNullable(byDomain.get(domain));
    }

    /**
     * Returns whether two failure domains are in one region. A domain whose region is unknown is in one with itself
     * alone.
     */
    public boolean isSame(FailureDomain one, FailureDomain other) {
        return one.equals(other) || of(one).isPresent() && of(one).equals(of(other));
    }

    /**
     * Returns the failure domains whose endpoints may serve a request.
     */
    public Predicate<FailureDomain> endpointDomains(Homes homes) {
        return homes.equals(Homes.ANY) ? domain -> true : domain -> homes.allows(of(domain));
    }

    /**
     * Returns the failure domains whose daemons may get a request's body: those that may serve it, and those in the
     * region of the daemon that the caller connected to.
     *
     * @param own the failure domain of that daemon
     */
    public Predicate<FailureDomain> daemonDomains(Homes homes, FailureDomain own) {
        return domain -> homes.allows(of(domain)) || isSame(domain, own);
    }
}
