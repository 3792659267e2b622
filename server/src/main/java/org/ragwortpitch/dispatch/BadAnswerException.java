package org.ragwortpitch.dispatch;

/**
 * An endpoint's answer that must not reach the caller as it is.
 */
public final class BadAnswerException extends Exception {

    /**
     * What is wrong.
     */
    private final AnswerFault fault;

    /**
     * Makes the exception.
     *
     * @param fault what is wrong
     */
    public BadAnswerException(AnswerFault fault) {
        super("the endpoint's answer is " + fault, null, false, false);
        this.fault = fault;
    }

    /**
     * Tells what is wrong.
     *
     * @return the fault
     */
    public AnswerFault fault() {
        return fault;
    }
}
