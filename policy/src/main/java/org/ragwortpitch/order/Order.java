package org.ragwortpitch.order;

/**
 * An order to an endpoint or to the platform.
 */
public sealed interface Order permits RoleOrder, LoadOrder, StartOrder, StopOrder {

    /**
     * Names what the order acts on. Two orders on one target conflict unless they are identical.
     *
     * @return the target; empty if the order conflicts with no other
     */
    String target();

    /**
     * Tells whether the target refuses orders with an old fencing number.
     *
     * @return whether it does
     */
    boolean checksFencing();
}
