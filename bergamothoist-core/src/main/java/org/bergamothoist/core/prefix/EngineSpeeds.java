package org.bergamothoist.core.prefix;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.gossip.DaemonReport.SpeedReport;

/**
 * Learned speeds of the engines, by incarnation. Until something was measured the assumed rate
 * applies. Confined to the control thread.
 */
public final class EngineSpeeds {

    /** Fewest prompt tokens of a sample; the time of smaller ones says little about the rate. */
    private static final int SMALLEST_SAMPLE_TOKENS = 256;

    /** Own samples from which a measurement is reported to other daemons. */
    private static final int SAMPLES_BEFORE_REPORT = 4;

    /** Age of the last sample up to which a measurement is reported, to keep reports small. */
    private static final Duration LONGEST_REPORTED_AGE = Duration.ofSeconds(10);

    /** Standard deviations above the mean up to which the gap between two events is usual. */
    private static final double USUAL_SPREADS = 2;

    /** Samples from which an engine's own time in a slot is used instead of the service's. */
    private static final int SAMPLES_BEFORE_SLOT_TIME = 32;

    /** Range of rates that other daemons may report, as multiples of the assumed rate. */
    private static final double LARGEST_REPORTED_FACTOR = 64;

    private final double assumedTokensPerMillisecond;
    private final Map<String, EngineSpeed> speeds = new HashMap<>();
    private final Map<String, PrefillTrend> trends = new HashMap<>();

    /**
     * Creates a table without measurements.
     *
     * @param assumedTokensPerMillisecond prompt tokens that an engine computes per millisecond, as
     *     long as nothing was measured
     */
    public EngineSpeeds(double assumedTokensPerMillisecond) {
        this.assumedTokensPerMillisecond = assumedTokensPerMillisecond;
    }

    private EngineSpeed speed(TargetIncarnation incarnation) {
        EngineSpeed known = speeds.get(incarnation.id());
        if (known != null && known.incarnation().equals(incarnation)) {
            return known;
        }
        EngineSpeed created = new EngineSpeed(incarnation);
        if (known == null || incarnation.startedAt().isAfter(known.incarnation().startedAt())) {
            speeds.put(incarnation.id(), created);
        }
        return created;
    }

    /** Removes what is known of an engine that is gone. */
    public void remove(String id) {
        speeds.remove(id);
    }

    private PrefillTrend trend(String service) {
        return trends.computeIfAbsent(
                service, name -> new PrefillTrend(assumedTokensPerMillisecond));
    }

    /**
     * Records the time to the first event of a request that met no other outstanding prefill.
     *
     * @param prefillTokens prompt tokens that the engine computed
     * @param elapsed time from sending the request to the first bytes of its answer
     */
    public void recordFirstEvent(
            RegisteredTarget engine, int prefillTokens, Duration elapsed, Instant now) {
        if (prefillTokens < SMALLEST_SAMPLE_TOKENS) {
            return;
        }
        double milliseconds = Math.max(1, elapsed.toMillis());
        PrefillTrend trend = trend(engine.service());
        EngineSpeed speed = speed(engine.incarnation());
        double factor = milliseconds / trend.expectedMilliseconds(prefillTokens);
        // Large prompts rather go to fast engines; without the factor the trend would be too flat.
        trend.add(prefillTokens, milliseconds / speed.trendFactor(factor));
        speed.addFactor(factor, now);
    }

    /**
     * Records the time to the first event of a request that met other outstanding prefill.
     *
     * @param prefillTokens prompt tokens of this request and the others that the engine computed
     */
    public void recordDisturbedFirstEvent(
            RegisteredTarget engine, long prefillTokens, Duration elapsed, Instant now) {
        EngineSpeed speed = speed(engine.incarnation());
        double expected =
                speed.factor().median()
                        * trend(engine.service()).expectedMilliseconds(prefillTokens);
        speed.addDisturbed(elapsed.toMillis() / Math.max(1, expected), now);
    }

    /**
     * Records the time between two events of a stream.
     *
     * @param prefilling whether the engine had outstanding prefill meanwhile
     */
    public void recordGap(RegisteredTarget engine, Duration gap, boolean prefilling, Instant now) {
        EngineSpeed speed = speed(engine.incarnation());
        if (prefilling) {
            speed.addPrefillGap(gap.toMillis());
        } else {
            speed.addIdleGap(gap.toMillis(), now);
        }
    }

    /** Records how long a completed request occupied a slot. */
    public void recordSlotTime(RegisteredTarget engine, Duration time) {
        speed(engine.incarnation()).addSlotTime(time);
    }

    /** Returns the engine's usual time of a request in a slot, if enough requests have ended. */
    public Optional<Duration> slotTime(RegisteredTarget engine) {
        RecentMean time = speed(engine.incarnation()).slotTime();
        return time.samples() < SAMPLES_BEFORE_SLOT_TIME
                ? Optional.empty()
                : Optional.of(Duration.ofMillis(Math.round(time.mean())));
    }

    /** Applies another daemon's measurement; one of another incarnation is ignored. */
    public void receive(
            String daemon, TargetIncarnation incarnation, SpeedReport report, Instant now) {
        double rate = report.prefillTokensPerMillisecond();
        boolean plausible =
                report.samples() > 0
                        && rate > assumedTokensPerMillisecond / LARGEST_REPORTED_FACTOR
                        && rate < assumedTokensPerMillisecond * LARGEST_REPORTED_FACTOR;
        if (plausible) {
            speed(incarnation).receive(daemon, report, now);
        }
    }

    /** Returns this daemon's own measurement of an engine, if there is a recent one. */
    public Optional<SpeedReport> report(RegisteredTarget engine, Instant now) {
        EngineSpeed speed = speeds.get(engine.id());
        if (speed == null
                || !speed.incarnation().equals(engine.incarnation())
                || speed.factor().samples() < SAMPLES_BEFORE_REPORT
                || speed.factor().age(now).compareTo(LONGEST_REPORTED_AGE) > 0) {
            return Optional.empty();
        }
        double millisecondsPerToken =
                speed.factor().median() * trend(engine.service()).millisecondsPerToken();
        RecentMean gap = speed.prefillGap().samples() > 0 ? speed.prefillGap() : speed.idleGap();
        return Optional.of(
                new SpeedReport(
                        1 / millisecondsPerToken,
                        gap.mean() + USUAL_SPREADS * gap.spread(),
                        speed.factor().samples(),
                        speed.factor().age(now)));
    }

    /** Returns the prompt tokens that an average engine of a service computes per millisecond. */
    public double prefillTokensPerMillisecond(String service) {
        PrefillTrend trend = trends.get(service);
        return trend == null ? assumedTokensPerMillisecond : 1 / trend.millisecondsPerToken();
    }

    /** Returns the prompt tokens that an engine usually computes per millisecond. */
    public double lastingTokensPerMillisecond(RegisteredTarget engine, Instant now) {
        EngineSpeed speed = speeds.get(engine.id());
        double service = prefillTokensPerMillisecond(engine.service());
        return speed == null || !speed.incarnation().equals(engine.incarnation())
                ? service
                : 1 / speed.millisecondsPerToken(1 / service, now);
    }

    /** Returns the prompt tokens that an engine computes per millisecond at present. */
    public double prefillTokensPerMillisecond(RegisteredTarget engine, Instant now) {
        return lastingTokensPerMillisecond(engine, now) / temporarySlowness(engine, now);
    }

    /**
     * Returns the predicted time to the first event of a request that an engine starts at once, in
     * milliseconds.
     */
    public double firstEventMilliseconds(RegisteredTarget engine, int prefillTokens, Instant now) {
        PrefillTrend trend = trends.get(engine.service());
        double intercept = trend == null ? 0 : trend.interceptMilliseconds();
        double factor =
                prefillTokensPerMillisecond(engine.service())
                        / prefillTokensPerMillisecond(engine, now);
        return factor * intercept + prefillTokens / prefillTokensPerMillisecond(engine, now);
    }

    /** Returns by how much an engine is slower at present than usual; 1 if it is not. */
    public double temporarySlowness(RegisteredTarget engine, Instant now) {
        EngineSpeed speed = speeds.get(engine.id());
        return speed == null || !speed.incarnation().equals(engine.incarnation())
                ? 1
                : speed.temporarySlowness(now);
    }

    /** Returns whether this daemon has measured an engine. */
    public boolean isMeasured(RegisteredTarget engine) {
        EngineSpeed speed = speeds.get(engine.id());
        return speed != null
                && speed.incarnation().equals(engine.incarnation())
                && speed.factor().samples() >= SAMPLES_BEFORE_REPORT;
    }

    /** Describes what was measured at an engine, for the decision log. */
    public String describe(RegisteredTarget engine, Instant now) {
        EngineSpeed speed = speed(engine.incarnation());
        return String.format(
                Locale.ROOT,
                "tokens-per-ms=%.1f samples=%d age=%d factor=%.2f spread=%.2f slowness=%.1f"
                        + " gap=%.0f gap-in-prefill=%.0f slot-time=%.0f",
                lastingTokensPerMillisecond(engine, now),
                speed.factor().samples(),
                speed.factor().samples() == 0 ? 0 : speed.factor().age(now).toMillis(),
                speed.factor().median(),
                speed.factor().spread(),
                speed.temporarySlowness(now),
                speed.idleGap().mean(),
                speed.prefillGap().mean(),
                speed.slotTime().mean());
    }
}
