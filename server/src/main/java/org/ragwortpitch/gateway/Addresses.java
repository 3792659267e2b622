package org.ragwortpitch.gateway;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The response of {@code /v1/addresses}: the daemons that a caller should use.
 *
 * @param addresses   the addresses as {@code host:port}, in order of preference
 * @param cacheMillis how long the caller may cache the addresses, in milliseconds
 */
public record Addresses(List<String> addresses, @JsonProperty("cache_millis") long cacheMillis) {

    /**
     * Copies the list.
     */
    public Addresses {
        addresses = List.copyOf(addresses);
    }
}
