package org.bergamothoist.core.admission;

/** A submitted request as its submitter sees it. */
public interface AdmissionTicket {

    /** Returns whether the request waits, so that one of its handler's methods is called later. */
    boolean isWaiting();

    /** Records that the request has ended, at a target or while it waited. */
    void leave();
}
