package org.bergamothoist.core.node;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.bergamothoist.core.dispatch.CompletionDispatcher;
import org.bergamothoist.core.dispatch.EngineLossDetector;
import org.bergamothoist.core.dispatch.ServiceDispatcher;
import org.bergamothoist.core.dispatch.TargetReservation;
import org.bergamothoist.core.filter.AdmissionFilter;
import org.bergamothoist.core.filter.AuthenticationFilter;
import org.bergamothoist.core.filter.ClaimFilter;
import org.bergamothoist.core.filter.CompletionEntitlementFilter;
import org.bergamothoist.core.filter.ConfigurationFilter;
import org.bergamothoist.core.filter.QuarantineFilter;
import org.bergamothoist.core.filter.ServiceEntitlementFilter;
import org.bergamothoist.core.filter.ServiceLimitFilter;
import org.bergamothoist.core.filter.SizeFilter;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.limit.AdmissionController;
import org.bergamothoist.core.limit.AdmissionLimits;
import org.bergamothoist.core.limit.AdmissionSettings;
import org.bergamothoist.core.limit.HedgePolicy;
import org.bergamothoist.core.limit.RetryBudget;
import org.bergamothoist.core.log.ConfigurationState;
import org.bergamothoist.core.membership.TargetAvailability;
import org.bergamothoist.core.placement.PlacementSettings;
import org.bergamothoist.core.placement.PrefixAwarePolicy;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.core.prompt.BlockHasher;
import org.bergamothoist.core.quarantine.QuarantineController;
import org.bergamothoist.core.request.CompletionExchange;
import org.bergamothoist.core.request.FilterChain;
import org.bergamothoist.core.request.RetryAwareOutcomeGuard;
import org.bergamothoist.core.request.ServiceExchange;
import org.bergamothoist.core.stream.ResumeTokenCodec;

/** Assembles the filter chains and dispatchers. Confined to the control thread. */
final class RequestPipeline {

    /**
     * A hedged attempt after a shorter delay would mostly duplicate work that is about to finish.
     */
    private static final Duration MINIMUM_HEDGE_DELAY = Duration.ofMillis(500);

    private final NodeSettings settings;
    private final NodeAdapters adapters;
    private final RouterNode.Environment environment;
    private final SharedLog log;
    private final TargetTracker targets;
    private final AdmissionLimits limits;
    private final NodeMetrics metrics;
    private final RetryBudget retryBudget = RetryBudget.standard();
    private final QuarantineController quarantine;
    private final CompletionPlacement placement;
    private final CompletionDispatcher completionDispatcher;
    private final ServiceDispatcher serviceDispatcher;
    private final DemandMeter<OrganisationId> organisationDemand;
    private final DemandMeter<ModelKey> modelDemand;
    private final RequestIntake intake;

    RequestPipeline(
            NodeSettings settings,
            NodeAdapters adapters,
            RouterNode.Environment environment,
            SharedLog log,
            TargetTracker targets,
            NodeContext context) {
        this.settings = settings;
        this.adapters = adapters;
        this.environment = environment;
        this.log = log;
        this.targets = targets;
        this.limits = context.limits();
        this.metrics = new NodeMetrics(environment.metrics());
        this.organisationDemand = new DemandMeter<>(environment.clock());
        this.modelDemand = new DemandMeter<>(environment.clock());
        this.quarantine =
                new QuarantineController(
                        settings.self(),
                        log.state()::suspicion,
                        this::isLeaving,
                        context.publisher(),
                        environment.scheduler(),
                        environment.clock());
        this.placement =
                new CompletionPlacement(
                        new PrefixAwarePolicy(placementSettings(settings), environment.random()),
                        targets.index(),
                        targets.load(),
                        targets.directory(),
                        targets.reports(),
                        targets.replicas(),
                        new CompletionPlacement.Instrumentation(metrics, environment.timeline()));
        ResumeTokenCodec tokenCodec = new ResumeTokenCodec(settings.deploymentKey());
        this.completionDispatcher = createCompletionDispatcher(tokenCodec, context.reservation());
        this.serviceDispatcher = createServiceDispatcher(context.reservation());
        this.intake = createIntake(tokenCodec, context);
    }

    /**
     * State and services of the node that request handling depends on.
     *
     * @param accepting false once a planned stop no longer accepts new requests
     */
    record NodeContext(
            Supplier<ConfigurationState> configuration,
            BooleanSupplier accepting,
            AdmissionLimits limits,
            QuarantineController.LossPublisher publisher,
            TargetReservation reservation) {}

    private static PlacementSettings placementSettings(NodeSettings settings) {
        PlacementSettings standard = PlacementSettings.standard(settings.weights());
        return new PlacementSettings(
                standard.weights(),
                standard.maximumHolders(),
                standard.preferredTargets(),
                standard.maximumPreferredTargets(),
                standard.randomTargets(),
                standard.maximumQueueingDelay(),
                settings.importTokensPerSecond());
    }

    private boolean isLeaving(TargetId target) {
        return targets.directory()
                .find(target)
                .map(Map.Entry::getValue)
                .filter(
                        availability ->
                                availability == TargetAvailability.LEAVING
                                        || availability == TargetAvailability.GONE)
                .isPresent();
    }

    private CompletionDispatcher createCompletionDispatcher(
            ResumeTokenCodec tokenCodec, TargetReservation reservation) {
        return new CompletionDispatcher(
                new CompletionDispatcher.Dependencies(
                        adapters.engines(),
                        placement,
                        id -> targets.directory().find(id).map(Map.Entry::getKey),
                        new EngineLossDetector(
                                adapters.engines(), adapters.services(), environment.scheduler()),
                        quarantine,
                        reservation,
                        retryBudget::tryTake,
                        new HedgePolicy(
                                HedgePolicy.STANDARD_QUANTILE, MINIMUM_HEDGE_DELAY, retryBudget),
                        placement,
                        tokenCodec,
                        environment.scheduler(),
                        environment.clock(),
                        environment.timeline()),
                settings.dispatch());
    }

    private ServiceDispatcher createServiceDispatcher(TargetReservation reservation) {
        return new ServiceDispatcher(
                adapters.services(),
                new LeastOutstandingServiceChooser(targets.directory(), this::serviceOutstanding),
                retryBudget::tryTake,
                new ServiceObserver(),
                quarantine,
                reservation,
                environment.scheduler(),
                environment.clock(),
                settings.dispatch());
    }

    private int serviceOutstanding(TargetId target) {
        return serviceDispatcher.outstanding(target);
    }

    private RequestIntake createIntake(ResumeTokenCodec tokenCodec, NodeContext context) {
        AdmissionController completions =
                new AdmissionController(
                        AdmissionSettings.standard(),
                        limits,
                        environment.clock(),
                        environment.scheduler());
        AdmissionController services =
                new AdmissionController(
                        AdmissionSettings.standard(),
                        limits,
                        environment.clock(),
                        environment.scheduler());
        placement.connect(completionDispatcher::runsSuspect, completions);
        ConfigurationFilter configurationFilter =
                new ConfigurationFilter(context.configuration(), context.accepting());
        AuthenticationFilter authentication =
                new AuthenticationFilter(log.state()::organisationByKeyDigest);
        ClaimFilter claimFilter = new ClaimFilter(log.claims(), environment.timeline());
        return new RequestIntake(
                new RequestIntake.Dependencies(
                        completionChain(
                                configurationFilter, authentication, completions, claimFilter),
                        serviceChain(configurationFilter, authentication, services, claimFilter),
                        new RetryAwareOutcomeGuard(environment.monitor()),
                        tokenCodec,
                        environment.monitor(),
                        environment.scheduler(),
                        environment.clock(),
                        environment.random(),
                        environment.timeline(),
                        metrics));
    }

    private FilterChain<CompletionExchange> completionChain(
            ConfigurationFilter configurationFilter,
            AuthenticationFilter authentication,
            AdmissionController admission,
            ClaimFilter claimFilter) {
        return new FilterChain<>(
                List.of(
                        configurationFilter,
                        authentication,
                        new SizeFilter(settings.maximumPromptBytes(), settings.maximumTokens()),
                        new CompletionEntitlementFilter(new BlockHasher(settings.blockTokens())),
                        this::countCompletion,
                        new QuarantineFilter<>(quarantine, CompletionExchange::fingerprint),
                        new AdmissionFilter(admission, placement::hasRoom),
                        claimFilter,
                        completionDispatcher));
    }

    private FilterChain<ServiceExchange> serviceChain(
            ConfigurationFilter configurationFilter,
            AuthenticationFilter authentication,
            AdmissionController admission,
            ClaimFilter claimFilter) {
        return new FilterChain<>(
                List.of(
                        configurationFilter,
                        authentication,
                        new ServiceEntitlementFilter(),
                        this::countService,
                        new QuarantineFilter<>(quarantine, ServiceExchange::fingerprint),
                        new ServiceLimitFilter(admission),
                        claimFilter,
                        serviceDispatcher));
    }

    private void countCompletion(CompletionExchange exchange, Runnable proceed) {
        organisationDemand.add(exchange.organisationId(), 1);
        modelDemand.add(exchange.modelKey(), exchange.estimatedTokens());
        retryBudget.onRequest();
        proceed.run();
    }

    private void countService(ServiceExchange exchange, Runnable proceed) {
        organisationDemand.add(exchange.organisationId(), 1);
        retryBudget.onRequest();
        proceed.run();
    }

    RequestIntake intake() {
        return intake;
    }

    QuarantineController quarantine() {
        return quarantine;
    }

    DemandMeter<OrganisationId> organisationDemand() {
        return organisationDemand;
    }

    DemandMeter<ModelKey> modelDemand() {
        return modelDemand;
    }

    /** Fails attempts that make no progress. */
    void failStalledAttempts() {
        completionDispatcher.failStalledAttempts();
    }

    /** Passes on to the directory of targets what calls show of instances. */
    private final class ServiceObserver implements ServiceDispatcher.Observer {

        @Override
        public void onResponded(Target target) {
            targets.directory().observeResponse(target.id());
        }

        @Override
        public void onConnectionFailed(Target target) {
            targets.directory().observeFailure(target.id(), TargetFailure.Kind.NOT_SENT);
        }
    }
}
