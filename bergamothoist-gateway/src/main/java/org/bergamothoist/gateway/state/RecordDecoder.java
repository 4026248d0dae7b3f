package org.bergamothoist.gateway.state;

import java.util.Optional;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.route.RouteConfiguration;

/** Decodes records of the platform's store; returns empty for records that cannot be decoded. */
public interface RecordDecoder {

    /** The version of a model's weights that operators want the engines to load. */
    record DesiredWeights(String model, int version) {}

    /**
     * A target's registration.
     *
     * @param reportNumber number that increases with each registration record of an incarnation
     */
    record Registration(RegisteredTarget target, long reportNumber) {}

    /** Returns whether a record of the operators' feed with this key holds the configuration. */
    boolean isConfigurationKey(String key);

    /**
     * Decodes the configuration of routes and services.
     *
     * @throws org.bergamothoist.gateway.GatewayException if a field is malformed; the message names
     *     the field
     */
    Optional<RouteConfiguration> configuration(byte[] value);

    /** Decodes the desired version of a model's weights. */
    Optional<DesiredWeights> desiredWeights(String key, byte[] value);

    /** Decodes the registration of a target, whose identifier is given by the key. */
    Optional<Registration> registration(String key, byte[] value);

    /** Decodes the address at which other daemons reach a daemon. */
    Optional<String> daemonAddress(byte[] value);

    /** Returns the content that a record of the daemons' feed with this key tells of. */
    Optional<Fingerprint> quarantinedContentKey(String key);

    /** Decodes the record of a quarantined content. */
    Optional<QuarantinedContent> quarantinedContent(Fingerprint content, byte[] value);
}
