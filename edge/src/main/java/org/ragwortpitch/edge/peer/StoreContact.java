package org.ragwortpitch.edge.peer;

/**
 * What a daemon tells the others about its contact with the platform's store.
 *
 * @param reachable         whether the store answers it
 * @param deploymentVersion the version of the configuration that it has applied; 0 if none or unknown
 */
public record StoreContact(boolean reachable, long deploymentVersion) {

    /** The contact of a daemon that has said nothing of it. */
    public static final StoreContact NONE = new StoreContact(false, 0);
}
