package org.bergamothoist.core.identity;

import java.util.Comparator;

/**
 * Identifies one run of a daemon.
 *
 * @param name name from the settings, the same after a restart
 * @param incarnation start time in milliseconds since the epoch; higher after each restart
 */
public record DaemonId(String name, long incarnation) implements Comparable<DaemonId> {

    private static final Comparator<DaemonId> ORDER =
            Comparator.comparing(DaemonId::name).thenComparingLong(DaemonId::incarnation);

    public DaemonId {
        Identifiers.require("daemon", name);
    }

    @Override
    public int compareTo(DaemonId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return name + "#" + incarnation;
    }
}
