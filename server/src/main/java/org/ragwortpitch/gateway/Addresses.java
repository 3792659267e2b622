package org.ragwortpitch.gateway;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * Which daemons a caller should use.
 *
 * @param addresses   the addresses, as host and port, the one to prefer first
 * @param cacheMillis how long the caller may keep them, in milliseconds
 */
public record Addresses(List<String> addresses, @JsonProperty("cache_millis") long cacheMillis) {

    /**
     * Copies the list.
     */
    public Addresses {
        addresses = List.copyOf(addresses);
    }
}
