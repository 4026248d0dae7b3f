package org.bergamothoist.core.route;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;

/** Holds the newest configuration. Confined to the control thread. */
public final class ConfigurationController {

    private final InstantSource clock;
    private RouteConfiguration current;
    private Instant acceptedAt;

    /** Creates a controller that knows no configuration. */
    public ConfigurationController(InstantSource clock) {
        this.clock = clock;
    }

    /** Takes a configuration over if it is newer than the one in force; returns whether it was. */
    public boolean offer(RouteConfiguration configuration) {
        if (current != null && configuration.version() <= current.version()) {
            return false;
        }
        current = configuration;
        acceptedAt = clock.instant();
        return true;
    }

    /** Returns the configuration in force, or empty before the first. */
    public Optional<RouteConfiguration> current() {
        return Optional.ofNullable(current);
    }

    /** Returns the version in force, or 0 before the first. */
    public long version() {
        return current == null ? 0 : current.version();
    }

    /** Returns when the configuration in force was accepted, or empty before the first. */
    public Optional<Instant> acceptedAt() {
        return Optional.ofNullable(acceptedAt);
    }
}
