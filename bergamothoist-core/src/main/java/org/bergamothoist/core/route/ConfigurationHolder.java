package org.bergamothoist.core.route;

import java.util.List;
import java.util.Optional;

/** Holds the newest routing configuration. Confined to the control thread. */
public final class ConfigurationHolder {

    private RouteConfiguration current;

    /** Creates a holder without a configuration. */
    public ConfigurationHolder() {}

    /** Replaces the current configuration if the given one is newer; returns whether it was. */
    public boolean updateIfNewer(RouteConfiguration configuration) {
        if (current != null && configuration.version() <= current.version()) {
            return false;
        }
        current = configuration;
        return true;
    }

    /** Returns the current configuration; empty before the first one. */
    public Optional<RouteConfiguration> current() {
        return Optional.ofNullable(current);
    }

    /** Returns the organisations that have a quota in the current configuration. */
    public List<Organisation> limitedOrganisations() {
        return current == null ? List.of() : current.limitedOrganisations();
    }

    /** Returns the version of the current configuration, 0 before the first one. */
    public long version() {
        return current == null ? 0 : current.version();
    }
}
