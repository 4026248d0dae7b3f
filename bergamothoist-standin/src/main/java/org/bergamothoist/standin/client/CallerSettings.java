package org.bergamothoist.standin.client;

import java.time.Duration;
import java.util.List;

/**
 * Describes a caller.
 *
 * @param organisation organisation whose key the caller uses
 * @param knownAddresses daemons' addresses to ask first, as {@code host:port}
 * @param affinity text for address questions that related callers share, empty for none
 * @param patience time after which the caller gives up
 */
public record CallerSettings(
        String organisation, List<String> knownAddresses, String affinity, Duration patience) {

    public CallerSettings {
        knownAddresses = List.copyOf(knownAddresses);
    }

    /** Returns a caller without affinity that waits a minute. */
    public static CallerSettings of(String organisation, List<String> knownAddresses) {
        return new CallerSettings(organisation, knownAddresses, "", Duration.ofMinutes(1));
    }
}
