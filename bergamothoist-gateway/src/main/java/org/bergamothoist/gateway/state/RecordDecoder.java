package org.bergamothoist.gateway.state;

import java.util.Optional;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.route.RouteConfiguration;

/** Reads the records of the platform's store. A record that cannot be read is empty. */
public interface RecordDecoder {

    /** A version of weights that operators named. */
    record WeightsNaming(String model, int version) {}

    /**
     * A target's registration.
     *
     * @param reportNumber grows with each report of an incarnation
     */
    record Registration(RegisteredTarget target, long reportNumber) {}

    /** Returns whether a key of the operators' feed holds the configuration. */
    boolean isConfiguration(String key);

    /** Reads a configuration. */
    Optional<RouteConfiguration> configuration(byte[] value);

    /** Reads a naming of weights. */
    Optional<WeightsNaming> weights(String key, byte[] value);

    /** Reads a registration. */
    Optional<Registration> registration(String key, byte[] value);

    /** Reads the address of a daemon for other daemons. */
    Optional<String> daemonAddress(byte[] value);
}
