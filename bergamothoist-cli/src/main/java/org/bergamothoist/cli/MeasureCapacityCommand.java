package org.bergamothoist.cli;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.bergamothoist.measure.capacity.CapacityMeasurement;
import org.bergamothoist.measure.capacity.Slope;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the slopes that the page on capacity is worked out from. */
@Command(
        name = "measure-capacity",
        mixinStandardHelpOptions = true,
        description =
                "Measures processor time, memory and message sizes of a daemon's parts at today's"
                        + " size and at fleet size.")
final class MeasureCapacityCommand implements Callable<Integer> {

    @Spec private CommandSpec spec;

    @Option(names = "--json", description = "print the figures as JSON")
    private boolean json;

    @Override
    public Integer call() {
        Output output = new Output(spec.commandLine().getOut());
        List<Slope> slopes = CapacityMeasurement.measure();
        if (json) {
            output.json(slopes);
            return ExitCodes.SUCCESS;
        }
        for (Slope slope : slopes) {
            output.line(
                    String.format(
                            Locale.ROOT,
                            "%-55s %-55s %12.2f %s",
                            slope.quantity(),
                            slope.size(),
                            slope.value(),
                            slope.unit()));
        }
        return ExitCodes.SUCCESS;
    }
}
