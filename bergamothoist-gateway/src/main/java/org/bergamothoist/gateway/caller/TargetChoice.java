package org.bergamothoist.gateway.caller;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.bergamothoist.core.quarantine.RequestKeys;

/**
 * Chooses the targets of one request, without those that were tried and apart from what it must not
 * run beside. Confined to the event loop.
 */
final class TargetChoice {

    private final ExchangeDependencies dependencies;
    private final RequestContext request;
    private final ResponseRelay relay;
    private final Supplier<RequestKeys> keys;
    private final Set<String> tried = new HashSet<>();

    TargetChoice(
            ExchangeDependencies dependencies,
            RequestContext request,
            ResponseRelay relay,
            Supplier<RequestKeys> keys) {
        this.dependencies = dependencies;
        this.request = request;
        this.relay = relay;
        this.keys = keys;
    }

    /** Leaves a target out of further choices. */
    void addTried(String target) {
        tried.add(target);
    }

    /** Allows all targets again. */
    void forgetTried() {
        tried.clear();
    }

    /** Returns the target for the next attempt, or empty if none accepts the request. */
    Optional<TargetSelector.Selection> choose(String service, Duration timeLeft) {
        return choose(service, tried, timeLeft);
    }

    /** Returns another target than the given one, or empty if none accepts the request. */
    Optional<TargetSelector.Selection> chooseOther(
            String service, String target, Duration timeLeft) {
        Set<String> excluded = new HashSet<>(tried);
        excluded.add(target);
        return choose(service, excluded, timeLeft);
    }

    /** Returns whether another target than the given one accepts the request. */
    boolean hasOther(String service, String target, Duration timeLeft) {
        return chooseOther(service, target, timeLeft).isPresent();
    }

    private Optional<TargetSelector.Selection> choose(
            String service, Set<String> excluded, Duration timeLeft) {
        CrashingContentGuard.Separation separation =
                dependencies.crashingContents().separation(keys);
        if (separation.none()) {
            return Optional.empty();
        }
        Set<String> separated = new HashSet<>(excluded);
        separated.addAll(separation.targets());
        Optional<TargetSelector.Selection> separate = select(service, separated, timeLeft);
        return separate.isPresent() || separation.required() || separation.targets().isEmpty()
                ? separate
                : select(service, excluded, timeLeft);
    }

    private Optional<TargetSelector.Selection> select(
            String service, Set<String> excluded, Duration timeLeft) {
        Optional<String> lastEventId = relay.lastEventId().or(request.head()::lastEventId);
        return dependencies
                .targetSelector()
                .selectTarget(request, service, excluded, timeLeft, lastEventId);
    }
}
