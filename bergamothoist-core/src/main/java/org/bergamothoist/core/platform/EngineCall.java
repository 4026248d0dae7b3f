package org.bergamothoist.core.platform;

import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.prompt.BlockHashChain;
import org.bergamothoist.core.prompt.Prompt;

/**
 * One dispatch of a completion to an engine.
 *
 * @param prompt the caller's prompt
 * @param hashChain the hashes of the prompt's blocks, for stand-ins that need no text
 * @param deliveredText text of earlier attempts that the caller already has; the engine continues
 *     after prompt and delivered text
 * @param maximumTokens most tokens still to generate
 * @param priority 0 is most urgent
 * @param cacheSalt keeps the engine's prefix cache apart for each organisation, model and version
 */
public record EngineCall(
        Target target,
        RequestId requestId,
        int attempt,
        OrganisationId organisation,
        ModelKey modelKey,
        Prompt prompt,
        BlockHashChain hashChain,
        String deliveredText,
        int maximumTokens,
        int priority,
        String cacheSalt) {}
