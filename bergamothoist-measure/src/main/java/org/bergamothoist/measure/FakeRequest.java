package org.bergamothoist.measure;

import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.prompt.BlockHashChain;

/**
 * A request of the workload.
 *
 * @param daemon number of the daemon that the caller connects to
 * @param deadlineMilliseconds time by which the first token must arrive
 */
record FakeRequest(
        long arrivalMilliseconds,
        OrganisationId organisation,
        BlockHashChain chain,
        int answerTokens,
        int daemon,
        long deadlineMilliseconds) {}
