package org.bergamothoist.core.node;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Locale;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.request.Outcome;

/** Metrics of dispatches and request outcomes. Thread-safe. */
final class NodeMetrics {

    private final MetricRegistry registry;
    private final Counter promptTokens;
    private final Counter cachedTokens;
    private final Counter mispredictedTokens;
    private final Counter retries;
    private final Counter enginesLost;
    private final Histogram firstTokenMilliseconds;

    NodeMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.promptTokens = registry.counter("placement.prompt-tokens");
        this.cachedTokens = registry.counter("placement.cached-tokens");
        this.mispredictedTokens = registry.counter("placement.mispredicted-tokens");
        this.retries = registry.counter("dispatch.retries");
        this.enginesLost = registry.counter("dispatch.engines-lost");
        this.firstTokenMilliseconds = registry.histogram("dispatch.first-token-milliseconds");
    }

    /**
     * Counts the prompt tokens of a response that has started.
     *
     * @param prompt tokens of the prompt
     * @param cached prompt tokens that the engine took from its cache
     * @param predicted prompt tokens that were predicted to be cached
     */
    void responseStarted(long prompt, long cached, long predicted) {
        promptTokens.inc(prompt);
        cachedTokens.inc(cached);
        mispredictedTokens.inc(Math.max(0, predicted - cached));
    }

    void firstToken(Duration sinceDispatch) {
        firstTokenMilliseconds.update(sinceDispatch.toMillis());
    }

    void retried() {
        retries.inc();
    }

    void engineLost() {
        enginesLost.inc();
    }

    void finished(Outcome outcome) {
        if (outcome instanceof Outcome.Answered) {
            registry.counter("requests.answered").inc();
        } else if (outcome instanceof Outcome.NotRun notRun) {
            registry.counter(name("requests.not-run", notRun.code())).inc();
        } else if (outcome instanceof Outcome.Unknown unknown) {
            registry.counter(name("requests.unknown", unknown.code())).inc();
        }
    }

    private static String name(String prefix, ErrorCode code) {
        return MetricRegistry.name(prefix, code.name().toLowerCase(Locale.ROOT).replace('_', '-'));
    }
}
