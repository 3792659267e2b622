package org.ragwortpitch.homes;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragwortpitch.deployment.AccountSpec;
import org.ragwortpitch.deployment.Route;
import org.ragwortpitch.identity.Region;

/**
 * The regions that may serve a request.
 *
 * @param regions the regions, of which there may be none; empty if any region may
 */
public record Homes(Optional<Set<Region>> regions) {

    /** Any region may serve the request. */
    public static final Homes ANY = new Homes(Optional.empty());

    /**
     * Copies the regions.
     */
    public Homes {
        regions = regions.map(Set::copyOf);
    }

    /**
     * Returns the homes of a request: those that both its route and its account list, where both list any.
     */
    public static Homes of(Route route, Optional<AccountSpec> account) {
        Set<Region> ofAccount = account.map(AccountSpec::homes).orElse(Set.of());
        if (route.homes().isEmpty() && ofAccount.isEmpty()) {
            return ANY;
        }
        if (route.homes().isEmpty() || ofAccount.isEmpty()) {
            return new Homes(Optional.of(route.homes().isEmpty() ? ofAccount : route.homes()));
        }
        Set<Region> common = new HashSet<>(route.homes());
        common.retainAll(ofAccount);
        return new Homes(Optional.of(common));
    }

    /**
     * Returns whether endpoints in a region may serve the request.
     *
     * @param region empty if the region is unknown, which is no home
     */
    public boolean allows(Optional<Region> region) {
        return regions.isEmpty() || region.isPresent() && regions.get().contains(region.get());
    }

    /**
     * Returns what a refusal for lack of endpoints has to say; empty if any region may serve the request.
     */
    public String describe() {
        if (regions.isEmpty()) {
            return "";
        }
        if (regions.get().isEmpty()) {
            return "; no region may serve the request, as the homes of its route and its account have none in common";
        }
        return "; only endpoints in the home regions of its route and account may serve the request: "
                + regions.get().stream().map(Region::value).sorted().collect(Collectors.joining(","));
    }
}
