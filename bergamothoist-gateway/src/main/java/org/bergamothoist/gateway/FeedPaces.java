package org.bergamothoist.gateway;

import java.time.Duration;
import org.bergamothoist.core.feed.FeedFollower;

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

    private final GatewaySettings settings;

    FeedPaces(GatewaySettings settings) {
        this.settings = settings;
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
