package org.bergamothoist.standin;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A clock that stands still until a test moves it. */
final class ManualClock implements InstantSource {

    private volatile Instant now = Instant.parse("2026-01-01T00:00:00Z");

    @Override
    public Instant instant() {
        return now;
    }

    void advance(Duration time) {
        now = now.plus(time);
    }
}
