package org.ragwortpitch.routing;

/**
 * How fast an endpoint works.
 *
 * @param prefillMicrosPerToken what reading a prompt token takes, in microseconds
 * @param stepMicros            what a step with a single request takes, in microseconds
 * @param stepMicrosPerRequest  what each further request adds to a step, in microseconds
 */
public record Speed(long prefillMicrosPerToken, long stepMicros, long stepMicrosPerRequest) {

    /**
     * What is assumed of an endpoint that was never measured.
     */
    public static final Speed ASSUMED = new Speed(50, 10_000, 200);
}
