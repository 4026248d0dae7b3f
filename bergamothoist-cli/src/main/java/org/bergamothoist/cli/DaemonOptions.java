package org.bergamothoist.cli;

import picocli.CommandLine.Option;

/** Options of commands that ask one daemon. */
final class DaemonOptions {

    @Option(
            names = "--daemon",
            required = true,
            paramLabel = "HOST:PORT",
            description = "callers' address of a daemon")
    private String daemon;

    @Option(
            names = "--key",
            paramLabel = "KEY",
            defaultValue = "${env:BERGAMOTHOIST_OPERATOR_KEY}",
            description = "operator key; by default from BERGAMOTHOIST_OPERATOR_KEY")
    private String key;

    DaemonClient client() {
        return new DaemonClient(daemon, key);
    }
}
