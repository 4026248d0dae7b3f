package org.bergamothoist.core.route;

import java.util.Optional;

/** Holds the newest configuration. Confined to the control thread. */
public final class ConfigurationHolder {

    private RouteConfiguration current;

    /** Creates a controller that knows no configuration. */
    public ConfigurationHolder() {}

    /** Takes a configuration over if it is newer than the one in force; returns whether it was. */
    public boolean updateIfNewer(RouteConfiguration configuration) {
        if (current != null && configuration.version() <= current.version()) {
            return false;
        }
        current = configuration;
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
}
