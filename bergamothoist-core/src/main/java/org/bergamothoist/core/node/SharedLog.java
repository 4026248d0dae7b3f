package org.bergamothoist.core.node;

import java.time.Duration;
import org.bergamothoist.core.claim.ClaimController;
import org.bergamothoist.core.log.CheckpointSettings;
import org.bergamothoist.core.log.CheckpointWriter;
import org.bergamothoist.core.log.LogAppender;
import org.bergamothoist.core.log.LogTail;
import org.bergamothoist.core.log.LogTailSettings;
import org.bergamothoist.core.log.SharedState;

/** The log client and the state replicated through the log. Confined to the control thread. */
final class SharedLog {

    private final SharedState state = new SharedState();
    private final LogTail tail;
    private final LogAppender appender;
    private final CheckpointWriter checkpoints;
    private final ClaimController claims;

    SharedLog(NodeSettings settings, NodeAdapters adapters, RouterNode.Environment environment) {
        this.tail =
                new LogTail(
                        adapters.log(),
                        state,
                        environment.scheduler(),
                        environment.clock(),
                        environment.random(),
                        LogTailSettings.DEFAULT);
        this.appender = new LogAppender(adapters.log(), tail, environment.scheduler());
        this.checkpoints =
                new CheckpointWriter(
                        settings.self(),
                        state,
                        tail,
                        appender,
                        environment.scheduler(),
                        environment.clock(),
                        environment.random(),
                        CheckpointSettings.DEFAULT);
        this.claims =
                new ClaimController(
                        settings.self(),
                        adapters.log(),
                        tail,
                        state,
                        environment.scheduler(),
                        environment.clock(),
                        environment.random());
    }

    SharedState state() {
        return state;
    }

    LogTail tail() {
        return tail;
    }

    LogAppender appender() {
        return appender;
    }

    ClaimController claims() {
        return claims;
    }

    void start(Duration delay) {
        checkpoints.start();
        tail.start(delay);
    }

    void stop() {
        checkpoints.stop();
        tail.stop();
    }
}
