package org.bergamothoist.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.time.Instant;

/** Guards the core against dependencies on transport, dependency injection or the system clock. */
@AnalyzeClasses(
        packages = "org.bergamothoist.core",
        importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

    @ArchTest
    final ArchRule coreDoesNotDependOnTransport =
            noClasses()
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "io.netty..",
                            "com.google.protobuf..",
                            "com.google.inject..",
                            "jakarta..",
                            "io.dropwizard.core..",
                            "org.apache.hc..",
                            "java.net..",
                            "org.bergamothoist.protocol..",
                            "org.bergamothoist.daemon..");

    @ArchTest
    final ArchRule coreStartsNoThreads =
            noClasses().should().dependOnClassesThat().areAssignableTo(Thread.class);

    @ArchTest
    final ArchRule clockIsPassedIn =
            noClasses()
                    .that()
                    .doNotHaveFullyQualifiedName("org.bergamothoist.core.time.MonotonicClock")
                    .should()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .callMethod(Instant.class, "now");

    @ArchTest
    final ArchRule componentsDoNotDependOnTheNode =
            noClasses()
                    .that()
                    .resideInAnyPackage(
                            "..core.claim..",
                            "..core.cache..",
                            "..core.placement..",
                            "..core.limit..",
                            "..core.order..",
                            "..core.membership..",
                            "..core.quarantine..",
                            "..core.stream..",
                            "..core.log..",
                            "..core.sheet..",
                            "..core.filter..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage("..core.node..");
}
