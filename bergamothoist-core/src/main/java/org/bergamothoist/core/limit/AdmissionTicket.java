package org.bergamothoist.core.limit;

/** Handle of a submitted request, which its submitter closes when the request ends. */
public interface AdmissionTicket {

    /**
     * Releases the request's admission: removes it from its queue, or from the count of the
     * organisation's running requests. Further calls have no effect.
     */
    void close();
}
