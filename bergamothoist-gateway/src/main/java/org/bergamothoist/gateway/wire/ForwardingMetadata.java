package org.bergamothoist.gateway.wire;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.bergamothoist.core.prefix.CacheScope;

/**
 * Metadata that the relay sends to a target in the headers of a forwarded request.
 *
 * @param instance identifier of the expected target
 * @param timeLeft time until the deadline of the response
 * @param organisation name of the caller's organisation, if known
 * @param priority 0 is the most urgent
 * @param weightVersion version of the weights that the target is expected to have loaded
 * @param scope cache scope that the prompt parts belong to; parts are not shared across scopes
 * @param fetchFrom address to fetch cached prompt parts from; it may not have them
 * @param saveTo address to save cached prompt parts to
 * @param lastEventId last event that the caller has received, if a stream is continued
 */
public record ForwardingMetadata(
        String instance,
        Duration timeLeft,
        Optional<String> organisation,
        int priority,
        OptionalInt weightVersion,
        Optional<CacheScope> scope,
        Optional<String> fetchFrom,
        Optional<String> saveTo,
        Optional<String> lastEventId) {}
