package org.bergamothoist.cli;

import com.google.inject.Module;
import java.util.Map;
import java.util.function.Supplier;
import picocli.CommandLine;
import picocli.CommandLine.IFactory;

/** Creates commands; those that need more than their options get it here. */
final class CommandFactory implements IFactory {

    private final Supplier<Module> parts;
    private final Map<String, String> environment;
    private final IFactory defaults = CommandLine.defaultFactory();

    CommandFactory(Supplier<Module> parts, Map<String, String> environment) {
        this.parts = parts;
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
        return defaults.create(type);
    }
}
