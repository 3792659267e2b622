package org.ragwortpitch.edge.control;

/**
 * The right to carry out the duties under one fencing token, which may end at any time. Confined to the control thread.
 */
interface DutyTenure {

    long fencingToken();

    /**
     * Returns whether this daemon may act under this token now. Called before each call to the platform.
     */
    boolean mayAct();

    /**
     * Ends the tenure, as a call was refused because another holder has acted since.
     */
    void refused();
}
