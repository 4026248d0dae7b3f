package org.bergamothoist.core.limit;

import java.time.Instant;

/** A token bucket whose rate and burst may change between calls. */
final class TokenBucket {

    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    private double tokens;
    private Instant updatedAt;

    /** Creates a full bucket for any burst. */
    TokenBucket(Instant now) {
        this.tokens = Double.MAX_VALUE;
        this.updatedAt = now;
    }

    /** Refills the bucket at the rate up to the burst, then takes a token if there is one. */
    boolean tryTake(double tokensPerSecond, double burst, Instant now) {
        double elapsed = (now.toEpochMilli() - updatedAt.toEpochMilli()) / MILLISECONDS_PER_SECOND;
        tokens = Math.min(burst, tokens + Math.max(0, elapsed) * tokensPerSecond);
        updatedAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
