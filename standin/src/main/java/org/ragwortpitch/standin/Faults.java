package org.ragwortpitch.standin;

/**
 * The faults that a stand-in injects; the JSON body of {@code /standin/faults}.
 *
 * @param logOut                    whether the log refuses all calls
 * @param logDelayMillis            delay of the log's responses, in milliseconds
 * @param readLagMillis             how far reads of the log lag behind appends, in milliseconds
 * @param appendAnswersLostPermille share of appends that take effect but get no response, in thousandths
 * @param usageOut                  whether usage reports are refused
 * @param usageAnswersLostPermille  share of usage reports that take effect but get no response, in thousandths
 * @param engineFault               the fault that engines show
 * @param engineFaultPermille       share of the attempts on engines that show it, in thousandths
 * @param serviceAnswersLostPermille share of service calls that take effect but get no response, in thousandths
 */
public record Faults(
        boolean logOut,
        long logDelayMillis,
        long readLagMillis,
        int appendAnswersLostPermille,
        boolean usageOut,
        int usageAnswersLostPermille,
        EngineFault engineFault,
        int engineFaultPermille,
        int serviceAnswersLostPermille) {

    /**
     * No faults.
     */
    public static final Faults NONE = new Faults(false, 0, 0, 0, false, 0, EngineFault.NONE, 0, 0);
}
