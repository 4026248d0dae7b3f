package org.bergamothoist.core.prefix;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.fleet.OutstandingWork;
import org.bergamothoist.core.fleet.RegisteredTarget;

/** Collects what requests show of their engines. Confined to the control thread. */
public final class EngineObserver {

    /** Change of a learned rate, as a ratio, from which it is logged. */
    private static final double LOGGED_CHANGE = 1.25;

    private final EngineSpeeds speeds;
    private final StreamSeparation separation;
    private final DecisionLog log;
    private final Map<String, Double> loggedRates = new HashMap<>();

    /** Creates an observer that adds to the given measurements. */
    public EngineObserver(EngineSpeeds speeds, StreamSeparation separation, DecisionLog log) {
        this.speeds = speeds;
        this.separation = separation;
        this.log = log;
    }

    /** Returns an observation of a request that is to start at an engine. */
    public RequestObservation observe(RequestObservation.Sample sample, OutstandingWork load) {
        return new RequestObservation(this, sample, load);
    }

    void recordFirstEvent(
            RegisteredTarget engine, int prefillTokens, Duration elapsed, Instant now) {
        speeds.recordFirstEvent(engine, prefillTokens, elapsed, now);
        double rate = speeds.prefillTokensPerMillisecond(engine, now);
        double logged =
                loggedRates.computeIfAbsent(
                        engine.id(), id -> speeds.prefillTokensPerMillisecond(engine.service()));
        if (rate > logged * LOGGED_CHANGE || rate < logged / LOGGED_CHANGE) {
            loggedRates.put(engine.id(), rate);
            log.write(
                    DecisionKind.ENGINE_SPEED_LEARNED,
                    engine.id(),
                    () -> speeds.describe(engine, now),
                    Math.round(rate) + " tokens/ms");
        }
    }

    EngineSpeeds speeds() {
        return speeds;
    }

    StreamSeparation separation() {
        return separation;
    }
}
