package org.bergamothoist.gateway.wire;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.bergamothoist.core.prefix.CacheScope;

/**
 * What the relay tells a target with a request.
 *
 * @param instance identifier of the expected target
 * @param left time that the target has
 * @param organisation name of the caller's organisation
 * @param priority 0 is the most urgent
 * @param weightVersion version of the weights that the target is expected to have
 * @param scope separates cached prompt parts
 * @param fetchFrom address that may hold prompt parts
 * @param saveTo address that keeps prompt parts
 * @param lastEventId last event that the caller has, if a stream goes on
 */
public record Forwarding(
        String instance,
        Duration left,
        Optional<String> organisation,
        int priority,
        OptionalInt weightVersion,
        Optional<CacheScope> scope,
        Optional<String> fetchFrom,
        Optional<String> saveTo,
        Optional<String> lastEventId) {}
