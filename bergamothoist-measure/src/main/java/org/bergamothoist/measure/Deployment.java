package org.bergamothoist.measure;

import java.time.Duration;
import org.bergamothoist.core.placement.PlacementWeights;

/**
 * A deployment to measure.
 *
 * @param engines number of engines
 * @param weights weights of the placement policy
 * @param score weights of the deployment's measures
 */
public record Deployment(
        String name,
        int engines,
        EngineProfile engine,
        WorkloadProfile workload,
        PlacementWeights weights,
        Score score) {

    /** Number of daemons in front of the engines. */
    public static final int DAEMONS = 6;

    /** Brunner: longer histories, fewer and longer questions, long drafts. */
    public static final Deployment BRUNNER =
            new Deployment(
                    "brunner",
                    8,
                    new EngineProfile(40_000, 48, 420),
                    new WorkloadProfile(30, 12, 28, 500, 6_000, 180, 390, Duration.ofSeconds(15)),
                    PlacementWeights.BRUNNER,
                    Score.BRUNNER);

    /** Al-Harthy: long order histories, many short questions, short replies. */
    public static final Deployment AL_HARTHY =
            new Deployment(
                    "al-harthy",
                    6,
                    new EngineProfile(40_000, 48, 420),
                    new WorkloadProfile(48, 6, 16, 100, 800, 40, 120, Duration.ofSeconds(10)),
                    PlacementWeights.AL_HARTHY,
                    Score.AL_HARTHY);

    /** Returns the deployment of the given name. */
    public static Deployment named(String name) {
        return switch (name) {
            case "brunner" -> BRUNNER;
            case "al-harthy" -> AL_HARTHY;
            default -> throw new IllegalArgumentException("unknown deployment: " + name);
        };
    }
}
