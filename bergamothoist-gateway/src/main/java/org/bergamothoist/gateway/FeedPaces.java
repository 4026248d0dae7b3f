package org.bergamothoist.gateway;

import java.time.Duration;
import java.util.Map;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.feed.FeedFollower;
import org.bergamothoist.core.feed.StoreReaderRole;

/** How often a daemon reads the feeds, derived from the time limits in its settings. */
final class FeedPaces {

    /** Daemons find each other by their reports; the feed is only for those that start. */
    static final FeedFollower.PollSettings DAEMONS =
            new FeedFollower.PollSettings(Duration.ofSeconds(10), Duration.ZERO);

    /** Pause between reads of the operators' feed. */
    private static final Duration OPERATOR_PAUSE = Duration.ofMillis(20);

    /**
     * Part of the time for applying a configuration that a read waits at the store at most, since a
     * connection may have gone silent meanwhile.
     */
    private static final double OPERATOR_WAIT_SHARE = 0.7;

    /** Part of the time for leaving targets that passes between reads of registrations. */
    private static final double TARGETS_PAUSE_SHARE = 0.3;

    /** The same for a daemon on standby, which sends requests to targets only by exception. */
    private static final double STANDBY_TARGETS_PAUSE_SHARE = 0.6;

    /** Part of the time for leaving targets that a read waits at the store at most. */
    private static final double TARGETS_WAIT_SHARE = 0.35;

    /** Time that a read takes longer than its wait at the store without being interrupted. */
    private static final Duration READ_TOLERANCE = Duration.ofMillis(500);

    /** Assumed age of versions read at the start, as part of the longest time on old weights. */
    private static final double ASSUMED_AGE_SHARE = 0.5;

    /**
     * Part of the time for applying a configuration that a reader's read waits at the store at
     * most. The answer to a read without records is what tells other daemons how new the known ones
     * are.
     */
    private static final double SERVED_OPERATOR_WAIT_SHARE = 0.25;

    /**
     * Part of the time for leaving targets that passes between a reader's reads of registrations.
     * Each renewal of a registration ends a wait at the store, so that in fleets with many targets
     * only the pause bounds the calls.
     */
    private static final double SERVED_TARGETS_PAUSE_SHARE = 0.2;

    /** Part of the time for leaving targets that such a read waits at the store at most. */
    private static final double SERVED_TARGETS_WAIT_SHARE = 0.05;

    /** Part of a time limit that passes between requests to a reader. */
    private static final double RELAY_INTERVAL_SHARE = 0.2;

    /** The same for a daemon on standby. */
    private static final double STANDBY_RELAY_INTERVAL_SHARE = 0.25;

    /** Part of a time limit after which a reader that does not answer has failed. */
    private static final double RELAY_TIMEOUT_SHARE = 0.125;

    /**
     * Part of a time limit up to which relayed records are new enough: the longest age of a
     * reader's records (0.26), the interval of a daemon on standby and the timeout of one reader
     * are 0.635. The rest is left for an own read.
     */
    private static final double SERVED_AGE_SHARE = 0.65;

    /** Part of a time limit above which a reader's records are so old that it lags. */
    private static final double LAGGING_AGE_SHARE = 0.33;

    private final GatewaySettings settings;

    FeedPaces(GatewaySettings settings) {
        this.settings = settings;
    }

    /**
     * Returns how operators' records are read.
     *
     * @param serving whether other daemons get records from this one
     */
    FeedFollower.PollSettings operators(boolean serving) {
        return serving
                ? new FeedFollower.PollSettings(
                        OPERATOR_PAUSE,
                        part(settings.configurationApplyMilliseconds(), SERVED_OPERATOR_WAIT_SHARE),
                        Duration.ZERO)
                : operators();
    }

    FeedFollower.PollSettings operators() {
        return new FeedFollower.PollSettings(
                OPERATOR_PAUSE,
                part(settings.configurationApplyMilliseconds(), OPERATOR_WAIT_SHARE));
    }

    /**
     * Returns how registrations are read.
     *
     * @param active whether this daemon takes callers' requests
     */
    FeedFollower.PollSettings targets(boolean active) {
        double pauseShare = active ? TARGETS_PAUSE_SHARE : STANDBY_TARGETS_PAUSE_SHARE;
        return new FeedFollower.PollSettings(
                part(settings.drainMilliseconds(), pauseShare),
                part(settings.drainMilliseconds(), TARGETS_WAIT_SHARE));
    }

    /**
     * Returns how registrations are read.
     *
     * @param active whether this daemon takes callers' requests
     * @param serving whether other daemons get records from this one
     */
    FeedFollower.PollSettings targets(boolean active, boolean serving) {
        return serving
                ? new FeedFollower.PollSettings(
                        part(settings.drainMilliseconds(), SERVED_TARGETS_PAUSE_SHARE),
                        part(settings.drainMilliseconds(), SERVED_TARGETS_WAIT_SHARE))
                : targets(active);
    }

    /**
     * Returns the time between requests to a reader.
     *
     * @param active whether this daemon takes callers' requests
     */
    Duration relayInterval(boolean active) {
        return part(shorterLimit(), active ? RELAY_INTERVAL_SHARE : STANDBY_RELAY_INTERVAL_SHARE);
    }

    /** Returns the time after which a reader that does not answer has failed. */
    Duration relayTimeout() {
        return part(shorterLimit(), RELAY_TIMEOUT_SHARE);
    }

    private long shorterLimit() {
        return Math.min(settings.configurationApplyMilliseconds(), settings.drainMilliseconds());
    }

    /** Returns the ages up to which relayed records are used. */
    StoreReaderRole.Limits relayLimits() {
        return new StoreReaderRole.Limits(ages(SERVED_AGE_SHARE), ages(LAGGING_AGE_SHARE));
    }

    private Map<Feed, Duration> ages(double share) {
        return Map.of(
                Feed.OPERATOR, part(settings.configurationApplyMilliseconds(), share),
                Feed.TARGETS, part(settings.drainMilliseconds(), share));
    }

    /** Returns the longest time between two reads of registrations without interruption. */
    Duration longestTargetsRead() {
        FeedFollower.PollSettings standby = targets(false);
        return standby.pause().plus(standby.maximumWait()).plus(READ_TOLERANCE);
    }

    /** Returns the longest time between two reads of the operators' feed without interruption. */
    Duration longestOperatorRead() {
        return operators().maximumWait().plus(READ_TOLERANCE);
    }

    /** Returns the assumed age of weight versions that are read at the start. */
    Duration assumedVersionAge() {
        return part(settings.longestOutdatedMilliseconds(), ASSUMED_AGE_SHARE);
    }

    private static Duration part(long milliseconds, double share) {
        return Duration.ofMillis(Math.round(milliseconds * share));
    }
}
