package org.ragwortpitch.standin;

/**
 * The faults that a stand-in shows now.
 *
 * @param logOut                    whether the log refuses all calls
 * @param logDelayMillis            by how much the log answers late, in milliseconds
 * @param readLagMillis             by how much reads of the log lag, in milliseconds
 * @param appendAnswersLostPermille how many appends take effect without an answer, in thousandths
 * @param usageOut                  whether usage reports are refused
 * @param usageAnswersLostPermille  how many usage reports take effect without an answer, in thousandths
 * @param engineFault               what engines do wrong
 * @param engineFaultPermille       how many answers of engines show that, in thousandths
 * @param serviceAnswersLostPermille how many calls of services take effect without an answer, in thousandths
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
