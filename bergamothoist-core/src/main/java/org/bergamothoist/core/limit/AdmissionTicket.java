package org.bergamothoist.core.limit;

/** A submitted request's place in admission. */
public interface AdmissionTicket {

    /**
     * Ends the request's admission: takes it out of its queue, or frees its place among the
     * organisation's running requests. Has no effect the second time.
     */
    void close();
}
