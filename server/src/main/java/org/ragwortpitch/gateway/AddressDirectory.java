package org.ragwortpitch.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.ragwortpitch.admission.AdmissionControl;
import org.ragwortpitch.configuration.AccountRule;
import org.ragwortpitch.control.Snapshot;
import org.ragwortpitch.identity.Incarnation;
import org.ragwortpitch.identity.KeyHash;
import org.ragwortpitch.membership.Member;

/**
 * Lists the daemons that a caller should use: members that are not leaving, owners of the account's quota first.
 */
final class AddressDirectory {

    private final Supplier<Snapshot> snapshots;

    private final AdmissionControl admission;

    private final long cacheMillis;

    AddressDirectory(Supplier<Snapshot> snapshots, AdmissionControl admission, long cacheMillis) {
        this.snapshots = snapshots;
        this.admission = admission;
        this.cacheMillis = cacheMillis;
    }

    /**
     * Returns the daemons to use, in order of preference: owners of the account's quota first, then by incarnation.
     *
     * @param request the request; its bearer key, if any, identifies the account
     * @return the addresses
     */
    Addresses addressesFor(HttpRequest request) {
        Snapshot snapshot = snapshots.get();
        Optional<AccountRule> account = RequestAuthenticator.header(request, "authorization")
                .filter(value -> value.regionMatches(true, 0, "Bearer ", 0, 7))
                .flatMap(value -> snapshot.configuration()
                        .accountOf(KeyHash.ofKey(value.substring(7).strip())));
        List<Incarnation> owners =
                account.map(rule -> admission.ownersOf(rule.id())).orElse(List.of());
        List<Member> available = new ArrayList<>(snapshot.members());
        available.removeIf(Member::leaving);
        available.sort(Comparator.comparing((Member member) -> !owners.contains(member.incarnation()))
                .thenComparing(Member::incarnation));
        return new Addresses(available.stream().map(Member::callerAddress).toList(), cacheMillis);
    }
}
