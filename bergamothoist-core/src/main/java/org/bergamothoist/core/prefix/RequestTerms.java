package org.bergamothoist.core.prefix;

import java.time.Duration;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.bergamothoist.core.route.EngineDefinition;

/**
 * What a request's route and service demand of its engine.
 *
 * @param urgentStream whether the answer is a stream of the most urgent priority
 * @param latencyObjective time within which the first event should arrive
 * @param longestEventGap longest time between events of a stream that is on time; zero if it is not
 *     stated
 * @param tokensPerEvent tokens in each event of a stream, if the service states them
 * @param engineMemoryTokens tokens of requests that an engine can hold, if there is a limit
 */
public record RequestTerms(
        boolean urgentStream,
        Duration latencyObjective,
        Duration longestEventGap,
        OptionalInt tokensPerEvent,
        OptionalLong engineMemoryTokens) {

    /** No demands. */
    public static final RequestTerms NONE =
            new RequestTerms(
                    false, Duration.ZERO, Duration.ZERO, OptionalInt.empty(), OptionalLong.empty());

    /** Creates the terms of a request to engines of a definition. */
    public static RequestTerms of(
            boolean urgentStream,
            Duration latencyObjective,
            Duration longestEventGap,
            EngineDefinition engine) {
        return new RequestTerms(
                urgentStream,
                latencyObjective,
                longestEventGap,
                engine.tokensPerEvent(),
                engine.requestMemoryTokens());
    }

    /** Returns these terms for engines whose memory does not limit the choice. */
    public RequestTerms withoutMemoryLimit() {
        return new RequestTerms(
                urgentStream,
                latencyObjective,
                longestEventGap,
                tokensPerEvent,
                OptionalLong.empty());
    }

    /**
     * Returns the longest decode step with which streams stay on time, in milliseconds; 0 if it is
     * not known. A prompt that takes longer to compute fills whole steps.
     */
    double longestStepMilliseconds() {
        return tokensPerEvent.isEmpty() || latencyObjective.isZero()
                ? 0
                : (double) longestEventGap.toMillis() / tokensPerEvent.getAsInt();
    }
}
