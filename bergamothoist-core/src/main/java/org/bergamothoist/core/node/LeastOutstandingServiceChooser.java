package org.bergamothoist.core.node;

import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.bergamothoist.core.dispatch.ServiceChooser;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.membership.TargetDirectory;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetKind;

/**
 * Chooses the instance with the fewest outstanding calls from this daemon. Ties are broken in an
 * order that changes with each selection. Confined to the control thread.
 */
final class LeastOutstandingServiceChooser implements ServiceChooser {

    private final TargetDirectory directory;
    private final ToIntFunction<TargetId> outstanding;
    private int selections;

    LeastOutstandingServiceChooser(TargetDirectory directory, ToIntFunction<TargetId> outstanding) {
        this.directory = directory;
        this.outstanding = outstanding;
    }

    @Override
    public Optional<Target> choose(String service, Predicate<TargetId> eligible) {
        int tieBreaker = selections++ & Integer.MAX_VALUE;
        Optional<Target> chosen =
                directory.accepting(TargetKind.PLAIN_SERVICE, service).stream()
                        .filter(target -> eligible.test(target.id()))
                        .min(
                                Comparator.comparingInt(
                                                (Target target) ->
                                                        outstanding.applyAsInt(target.id()))
                                        .thenComparingInt(
                                                target -> tieRank(target.id(), tieBreaker)));
        chosen.ifPresent(target -> directory.beforeDispatch(target.id()));
        return chosen;
    }

    @Override
    public boolean confirm(Target target) {
        boolean accepting =
                directory.accepting(TargetKind.PLAIN_SERVICE, target.group()).contains(target);
        if (accepting) {
            directory.beforeDispatch(target.id());
        }
        return accepting;
    }

    private static int tieRank(TargetId target, int tieBreaker) {
        int hash = (target.value().hashCode() + tieBreaker) * 0x9e3779b9;
        return hash >>> 1;
    }
}
