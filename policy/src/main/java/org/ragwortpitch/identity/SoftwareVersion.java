package org.ragwortpitch.identity;

/**
 * The version of the software that an endpoint runs, not of the weights of its models.
 *
 * @param value as the endpoint states it; empty if it states none
 */
public record SoftwareVersion(String value) {

    /** The version of endpoints that state none. */
    public static final SoftwareVersion UNSTATED = new SoftwareVersion("");

    @Override
    public String toString() {
        return value;
    }
}
