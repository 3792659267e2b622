package org.ragwortpitch.suspect;

/**
 * What is thought of a request.
 */
public enum Suspicion {
    /**
     * It may run beside any others.
     */
    NONE,
    /**
     * It was under way when an endpoint crashed, perhaps only beside the cause. It runs beside no other suspect.
     */
    SUSPECT,
    /**
     * It was under way at two crashes, beside no other suspect at the second. It is not run again.
     */
    REFUSED
}
