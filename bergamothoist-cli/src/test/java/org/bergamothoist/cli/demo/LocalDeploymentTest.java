package org.bergamothoist.cli.demo;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import org.awaitility.Awaitility;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.SheetStatus;
import org.bergamothoist.daemon.DaemonInstance;
import org.bergamothoist.standin.Deployment;
import org.bergamothoist.standin.PlatformStandIn;
import org.bergamothoist.standin.client.CallerSettings;
import org.bergamothoist.standin.client.CallerTransport;
import org.bergamothoist.standin.client.CompletionCaller;
import org.bergamothoist.standin.client.CompletionRequest;
import org.bergamothoist.standin.client.CompletionResult;
import org.bergamothoist.standin.client.OutcomeKind;
import org.junit.jupiter.api.Test;

class LocalDeploymentTest {

    private static final ModelKey MODEL = new ModelKey("atelier-llm", "diagnosis", "2026-02");

    /** Guards against parts that work alone, but not together over HTTP. */
    @Test
    void answersCompletionUnderAcceptedSheet() throws Exception {
        ExampleDeployment example = ExampleDeployment.load(Deployment.BRUNNER);
        OrganisationEntry organisation = example.sheet().get(0);
        InstantSource clock = InstantSource.system();
        PlatformStandIn platform =
                PlatformStandIn.start(example.sizes(), example.platform(1), clock);
        try (LocalDeployment deployment = new LocalDeployment(platform, example);
                CallerTransport transport = new CallerTransport(clock, 1)) {
            DaemonInstance first = deployment.startDaemon(0);
            DaemonInstance second = deployment.startDaemon(1);
            first.ready().toCompletableFuture().get(20, TimeUnit.SECONDS);
            second.ready().toCompletableFuture().get(20, TimeUnit.SECONDS);
            SheetStatus submitted =
                    first.router()
                            .submitSheet("biel", "operator", example.sheet())
                            .toCompletableFuture()
                            .get(20, TimeUnit.SECONDS);
            assertThat(submitted.verdict().accepted()).isTrue();
            Awaitility.await()
                    .atMost(Duration.ofSeconds(30))
                    .until(() -> reach(second, submitted) == SheetStatus.Reach.IN_FORCE);

            CompletionCaller caller =
                    new CompletionCaller(
                            transport,
                            CallerSettings.of(
                                    organisation.organisation().value(),
                                    deployment.callerAddresses()));
            CompletionResult result =
                    caller.complete(CompletionRequest.of(MODEL, "history ".repeat(200), 20))
                            .get(30, TimeUnit.SECONDS);
            assertThat(result.outcome()).isEqualTo(OutcomeKind.ANSWERED);
            assertThat(result.violations()).isEmpty();
        }
    }

    private static SheetStatus.Reach reach(DaemonInstance daemon, SheetStatus submitted) {
        return daemon.router()
                .sheetStatus(submitted.verdict().digest())
                .toCompletableFuture()
                .join()
                .map(SheetStatus::reach)
                .orElse(SheetStatus.Reach.RECORDED);
    }
}
