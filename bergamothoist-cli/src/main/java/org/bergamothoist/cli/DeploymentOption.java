package org.bergamothoist.cli;

import java.util.List;
import java.util.stream.Stream;
import org.bergamothoist.standin.Deployment;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Option;
import picocli.CommandLine.TypeConversionException;

/** Option that names an example deployment. */
final class DeploymentOption {

    @Option(
            names = "--deployment",
            required = true,
            paramLabel = "NAME",
            converter = Converter.class,
            description = "deployment: brunner or al-harthy")
    private Deployment deployment;

    Deployment deployment() {
        return deployment;
    }

    /** Finds a deployment by its name. */
    static final class Converter implements ITypeConverter<Deployment> {

        private static final List<Deployment> KNOWN =
                List.of(Deployment.BRUNNER, Deployment.AL_HARTHY);

        @Override
        public Deployment convert(String name) {
            return KNOWN.stream()
                    .filter(known -> known.name().equals(name))
                    .findFirst()
                    .orElseThrow(
                            () ->
                                    new TypeConversionException(
                                            "'" + name + "' is none of " + names()));
        }

        private static List<String> names() {
            Stream<Deployment> known = KNOWN.stream();
            return known.map(Deployment::name).toList();
        }
    }
}
