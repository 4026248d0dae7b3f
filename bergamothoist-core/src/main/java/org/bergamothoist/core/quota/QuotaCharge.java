package org.bergamothoist.core.quota;

/** The units that a request has taken from its organisation's quota. */
public interface QuotaCharge {

    /** The charge of a request whose organisation has no quota. */
    QuotaCharge NONE = runs -> {};

    /** Corrects the charge to a number of runs of the request, from 0. */
    void setRuns(int runs);
}
