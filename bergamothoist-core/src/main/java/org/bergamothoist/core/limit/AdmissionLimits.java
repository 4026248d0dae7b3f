package org.bergamothoist.core.limit;

import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.sheet.OrganisationLimits;

/** Provides the limits that apply to an organisation at this daemon. */
public interface AdmissionLimits {

    /** Returns the organisation's limits, which apply to all daemons together. */
    OrganisationLimits limits(OrganisationId organisation);

    /** Returns this daemon's share of the organisation's limits, from 0 to 1. */
    double share(OrganisationId organisation);
}
