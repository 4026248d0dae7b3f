package org.bergamothoist.core.prefix;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.gossip.DaemonReport.SpeedReport;

/**
 * Measured speed of one engine incarnation, relative to the service's trend: a lasting factor, and
 * a temporary one that fades. Confined to the control thread.
 */
final class EngineSpeed {

    /** Number of samples over which a sample loses most of its weight. */
    private static final int WINDOW = 32;

    /** Number of samples whose median is the lasting factor. */
    private static final int FACTOR_WINDOW = 31;

    /** Samples that the service's trend counts for in an engine's lasting factor. */
    private static final double PRIOR_SAMPLES = 2;

    /** Samples from which the factor corrects those of the trend. */
    private static final int SAMPLES_BEFORE_TREND = 16;

    /**
     * A sample counts as at most this multiple of what is usual in means and in the trend, so that
     * an engine that is slow for a moment does not change them.
     */
    private static final double LARGEST_STEP = 1.3;

    /** Range of lasting factors; values outside come from faulty samples. */
    private static final double SMALLEST_FACTOR = 1.0 / 16;

    private static final double LARGEST_FACTOR = 16;

    /**
     * Slowness below this multiple is explained by the number of running requests: at a full engine
     * a decode step takes about one and a half times the usual time.
     */
    private static final double SMALLEST_SLOWNESS = 1.5;

    private static final double LARGEST_SLOWNESS = 8;

    /** Weight of the newest sample in the temporary slowness. */
    private static final double SLOWNESS_SMOOTHING = 0.4;

    /** Time after which temporary slowness that is no longer observed has mostly faded. */
    private static final double SLOWNESS_FADE_MILLISECONDS = 500;

    /** Samples from which an engine's own mean event gap is used. */
    private static final int SAMPLES_BEFORE_SLOWNESS = 16;

    /** Time without an undisturbed request after which others count. */
    private static final Duration TIME_WITHOUT_SAMPLE = Duration.ofSeconds(1);

    /** Most samples that one daemon's measurement counts for. */
    private static final int MOST_COUNTED_SAMPLES = 64;

    /** Time after which a measurement counts for little, in milliseconds. */
    private static final double MEASUREMENT_LIFETIME = 30_000;

    /** Age after which what another daemon measured is dropped. */
    private static final Duration RECEIVED_LIFETIME = Duration.ofSeconds(60);

    /** Time for which the combination of all daemons' measurements is kept: half a report's. */
    private static final Duration COMBINATION_INTERVAL = Duration.ofMillis(100);

    private final TargetIncarnation incarnation;
    private final RecentMedian factor = new RecentMedian(FACTOR_WINDOW);
    private final RecentMean idleGap = new RecentMean(WINDOW);
    private final RecentMean prefillGap = new RecentMean(WINDOW);
    private final RecentMean slotTime = new RecentMean(WINDOW);
    private final Map<String, Received> received = new HashMap<>();
    private double combined;
    private Instant combinedAt = Instant.EPOCH;
    private double slowness = 1;
    private Instant slownessAt = Instant.EPOCH;

    EngineSpeed(TargetIncarnation incarnation) {
        this.incarnation = incarnation;
    }

    private record Received(SpeedReport report, Instant at) {}

    TargetIncarnation incarnation() {
        return incarnation;
    }

    /**
     * Returns the ratio of a request's time that is due to the engine, not to the prompt: the
     * lasting factor, and what exceeds the limit of a single sample.
     */
    double trendFactor(double sample) {
        if (factor.samples() < SAMPLES_BEFORE_TREND) {
            return 1;
        }
        return factor.median() * Math.max(1, sample / (LARGEST_STEP * factor.median()));
    }

    /** Records how a request's time to the first event compares with the service's trend. */
    void addFactor(double sample, Instant now) {
        factor.add(Math.min(LARGEST_FACTOR, Math.max(SMALLEST_FACTOR, sample)), now);
        if (factor.samples() > SAMPLES_BEFORE_SLOWNESS) {
            observeSlowness(sample / factor.median(), now);
        }
    }

    /**
     * Records a request that took longer than the outstanding prefill before it explains. It counts
     * as a somewhat slow one, and only if no request without prefill before it came for some time:
     * an engine that is taken for faster than it is stays busy, and would never be measured.
     *
     * @param ratio measured time by the predicted one
     */
    void addDisturbed(double ratio, Instant now) {
        if (ratio > LARGEST_STEP
                && factor.samples() > 0
                && factor.age(now).compareTo(TIME_WITHOUT_SAMPLE) > 0) {
            factor.correct(Math.min(LARGEST_FACTOR, LARGEST_STEP * factor.median()));
        }
    }

    void addIdleGap(double milliseconds, Instant now) {
        if (idleGap.samples() > SAMPLES_BEFORE_SLOWNESS) {
            // Events that are read together have gaps of 0 ms; a mean of 0 compares with nothing.
            double usual = Math.max(1, idleGap.mean());
            observeSlowness(milliseconds / usual, now);
            idleGap.add(Math.min(milliseconds, LARGEST_STEP * usual));
        } else {
            idleGap.add(milliseconds);
        }
    }

    void addPrefillGap(double milliseconds) {
        prefillGap.add(milliseconds);
    }

    void addSlotTime(Duration time) {
        slotTime.add(time.toMillis());
    }

    private void observeSlowness(double ratio, Instant now) {
        double limited = Math.min(LARGEST_SLOWNESS, Math.max(1, ratio));
        double current = slowness(now);
        slowness = current + SLOWNESS_SMOOTHING * (limited - current);
        slownessAt = now;
    }

    private double slowness(Instant now) {
        double age = Duration.between(slownessAt, now).toMillis();
        return 1 + (slowness - 1) * Math.exp(-age / SLOWNESS_FADE_MILLISECONDS);
    }

    /** Returns by how much the engine is slower now than usual; 1 if it is not. */
    double temporarySlowness(Instant now) {
        double current = slowness(now);
        return current < SMALLEST_SLOWNESS ? 1 : current;
    }

    void receive(String daemon, SpeedReport report, Instant now) {
        received.put(daemon, new Received(report, now));
    }

    /**
     * Returns the lasting time of one prompt token in milliseconds, from the measurements of all
     * daemons.
     *
     * @param trendMillisecondsPerToken that of an average engine of the service
     */
    double millisecondsPerToken(double trendMillisecondsPerToken, Instant now) {
        if (!now.isBefore(combinedAt.plus(COMBINATION_INTERVAL))) {
            combined = combine(trendMillisecondsPerToken, now);
            combinedAt = now;
        }
        return combined;
    }

    private double combine(double trendMillisecondsPerToken, Instant now) {
        received.values().removeIf(one -> one.at().plus(RECEIVED_LIFETIME).isBefore(now));
        double weight = PRIOR_SAMPLES;
        double sum = PRIOR_SAMPLES * trendMillisecondsPerToken;
        if (factor.samples() > 0) {
            double own = weight(factor.samples(), factor.age(now));
            weight += own;
            sum += own * factor.median() * trendMillisecondsPerToken;
        }
        for (Received one : received.values()) {
            Duration age = one.report().age().plus(Duration.between(one.at(), now));
            double other = weight(one.report().samples(), age);
            weight += other;
            sum += other / one.report().prefillTokensPerMillisecond();
        }
        return sum / weight;
    }

    private static double weight(int samples, Duration age) {
        return Math.min(MOST_COUNTED_SAMPLES, samples)
                * Math.exp(-age.toMillis() / MEASUREMENT_LIFETIME);
    }

    /** Returns the own factor, without what other daemons measured. */
    RecentMedian factor() {
        return factor;
    }

    RecentMean idleGap() {
        return idleGap;
    }

    RecentMean prefillGap() {
        return prefillGap;
    }

    RecentMean slotTime() {
        return slotTime;
    }
}
