package org.bergamothoist.cli;

import com.google.inject.Guice;
import com.google.inject.Module;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.daemon.operator.SheetParser;
import org.bergamothoist.measure.check.RandomisedCheck;
import org.bergamothoist.platform.soak.GatewaySoak;
import picocli.CommandLine;
import picocli.CommandLine.IFactory;

/** Creates commands; those that need more than their options get it here. */
final class CommandFactory implements IFactory {

    private final Supplier<Module> parts;
    private final Module sheetParts;
    private final Map<String, String> environment;
    private final IFactory defaults = CommandLine.defaultFactory();

    CommandFactory(Supplier<Module> parts, Module sheetParts, Map<String, String> environment) {
        this.parts = parts;
        this.sheetParts = sheetParts;
        this.environment = environment;
    }

    @Override
    public <K> K create(Class<K> type) throws Exception {
        if (type == ServeCommand.class) {
            return type.cast(new ServeCommand(parts, environment));
        }
        if (type == CheckSettingsCommand.class) {
            return type.cast(new CheckSettingsCommand(environment));
        }
        if (type == SheetCheckCommand.class) {
            return type.cast(new SheetCheckCommand(this::parse));
        }
        if (type == SheetSubmitCommand.class) {
            return type.cast(new SheetSubmitCommand(this::parse));
        }
        if (type == SheetDifferenceCommand.class) {
            return type.cast(new SheetDifferenceCommand(this::parse));
        }
        if (type == CheckCommand.class) {
            return type.cast(new CheckCommand(RandomisedCheck::run));
        }
        if (type == SoakCommand.class) {
            return type.cast(new SoakCommand(GatewaySoak::run));
        }
        return defaults.create(type);
    }

    /** Looks the parser up when it is used, since other commands must work without it. */
    private List<OrganisationEntry> parse(String csv) {
        return Guice.createInjector(sheetParts).getInstance(SheetParser.class).parse(csv);
    }
}
