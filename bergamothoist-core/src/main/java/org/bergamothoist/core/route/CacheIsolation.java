package org.bergamothoist.core.route;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.bergamothoist.core.quarantine.FingerprintCalculator;

/**
 * Says which organisations of a configuration share cached prompt parts.
 *
 * <p>The group of those that share is identified by the organisations that do not. When one becomes
 * isolated, the others therefore no longer find what it has left in the group, and all daemons with
 * that configuration agree on the group without a message. Immutable.
 */
public final class CacheIsolation {

    /** Without any organisation: all callers share. */
    public static final CacheIsolation NONE = new CacheIsolation(List.of());

    private final Set<String> names;
    private final Set<String> isolatedNames;
    private final CacheOwner group;

    /** Creates the isolation of a configuration's organisations. */
    public CacheIsolation(Collection<Organisation> organisations) {
        names = organisations.stream().map(Organisation::name).collect(Collectors.toSet());
        isolatedNames =
                organisations.stream()
                        .filter(Organisation::isolated)
                        .map(Organisation::name)
                        .collect(Collectors.toSet());
        group =
                new CacheOwner(
                        "group-"
                                + FingerprintCalculator.ofNames(
                                        isolatedNames.stream().sorted().toList()));
    }

    /**
     * Returns the owner of the parts that a caller's request makes and may use.
     *
     * @param organisation name of the caller's organisation, or empty for callers without one. One
     *     that the configuration no longer has shares nothing.
     */
    public CacheOwner owner(Optional<String> organisation) {
        return organisation
                .filter(name -> isolatedNames.contains(name) || !names.contains(name))
                .map(
                        name ->
                                new CacheOwner(
                                        "organisation-"
                                                + FingerprintCalculator.ofNames(List.of(name))))
                .orElse(group);
    }
}
