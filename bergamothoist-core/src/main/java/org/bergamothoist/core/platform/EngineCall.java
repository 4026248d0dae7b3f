package org.bergamothoist.core.platform;

import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.prompt.BlockHashChain;
import org.bergamothoist.core.prompt.Prompt;

/**
 * One attempt to run a completion on an engine.
 *
 * @param attempt number of the attempt within the request
 * @param prompt the caller's prompt
 * @param hashChain hashes of the prompt's blocks, for simulated engines that do not read the text
 * @param deliveredText text of earlier attempts that the caller has already received; the engine
 *     continues after prompt and delivered text
 * @param maximumTokens maximum number of tokens still to generate
 * @param priority from 0 (most urgent) to 9 (least urgent)
 * @param cacheSalt separates the engine's prefix cache by organisation, model and version
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
