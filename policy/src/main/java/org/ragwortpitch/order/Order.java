package org.ragwortpitch.order;

/**
 * An order to an endpoint or to the platform.
 */
public sealed interface Order permits RoleOrder, LoadOrder, StartOrder, StopOrder {

    /**
     * Returns the identifier of what the order acts on. Two orders on one target conflict unless they are equal.
     *
     * @return the target, or an empty string if the order conflicts with no other
     */
    String target();

    /**
     * Returns whether the target rejects orders with an outdated fencing token.
     */
    boolean checksFencing();
}
