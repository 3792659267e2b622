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
 * Tells callers which daemons to use: those that stay, the homes of the caller's account first.
 */
final class AddressBook {

    /**
     * Supplies control state.
     */
    private final Supplier<Snapshot> snapshots;

    /**
     * Knows the homes of accounts.
     */
    private final AdmissionControl admission;

    /**
     * How long callers may keep the addresses, in milliseconds.
     */
    private final long cacheMillis;

    /**
     * Makes a book.
     *
     * @param snapshots   supplies control state
     * @param admission   knows the homes of accounts
     * @param cacheMillis how long callers may keep the addresses, in milliseconds
     */
    AddressBook(Supplier<Snapshot> snapshots, AdmissionControl admission, long cacheMillis) {
        this.snapshots = snapshots;
        this.admission = admission;
        this.cacheMillis = cacheMillis;
    }

    /**
     * Answers a caller.
     *
     * @param request the request, whose key tells the account if there is one
     * @return the addresses
     */
    Addresses answer(HttpRequest request) {
        Snapshot snapshot = snapshots.get();
        Optional<AccountRule> account = Door.header(request, "authorization")
                .filter(value -> value.regionMatches(true, 0, "Bearer ", 0, 7))
                .flatMap(value -> snapshot.configuration()
                        .accountOf(KeyHash.ofKey(value.substring(7).strip())));
        List<Incarnation> homes =
                account.map(rule -> admission.homesOf(rule.id())).orElse(List.of());
        List<Member> staying = new ArrayList<>(snapshot.members());
        staying.removeIf(Member::leaving);
        staying.sort(Comparator.comparing((Member member) -> !homes.contains(member.incarnation()))
                .thenComparing(Member::incarnation));
        return new Addresses(staying.stream().map(Member::callerAddress).toList(), cacheMillis);
    }
}
