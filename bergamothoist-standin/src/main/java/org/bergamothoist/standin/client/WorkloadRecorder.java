package org.bergamothoist.standin.client;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;
import org.HdrHistogram.Histogram;
import org.bergamothoist.standin.EngineCounters;

/** Collects the results of a workload's requests. */
final class WorkloadRecorder {

    private static final int SIGNIFICANT_DIGITS = 3;

    private final List<CompletionResult> completions = new ArrayList<>();
    private final List<ServiceResult> services = new ArrayList<>();
    private int running;
    private int begun;
    private int mostRunning;
    private int skipped;

    /** Counts a request that begins; returns false if it must be skipped. */
    synchronized boolean begin(int maximumRunning) {
        if (running >= maximumRunning) {
            skipped++;
            return false;
        }
        running++;
        begun++;
        mostRunning = Math.max(mostRunning, running);
        return true;
    }

    synchronized void end(CompletionResult result) {
        running--;
        completions.add(result);
    }

    synchronized void end(ServiceResult result) {
        running--;
        services.add(result);
    }

    synchronized int begun() {
        return begun;
    }

    synchronized int resumes() {
        return completions.stream().mapToInt(CompletionResult::resumes).sum();
    }

    synchronized int running() {
        return running;
    }

    synchronized WorkloadResult result(EngineCounters counters, ToIntFunction<String> executions) {
        Map<OutcomeKind, Integer> outcomes = new EnumMap<>(OutcomeKind.class);
        Map<String, Integer> codes = new HashMap<>();
        List<Violation> violations = new ArrayList<>();
        for (CompletionResult completion : completions) {
            outcomes.merge(completion.outcome(), 1, Integer::sum);
            completion.sendings().forEach(sending -> count(codes, sending));
            violations.addAll(completion.violations());
            violations.addAll(
                    ExecutionAudit.check(
                            completion.request().idempotent(), completion.sendings(), executions));
        }
        for (ServiceResult service : services) {
            outcomes.merge(service.sending().outcome(), 1, Integer::sum);
            count(codes, service.sending());
            violations.addAll(service.violations());
            violations.addAll(
                    ExecutionAudit.check(
                            service.request().idempotent(),
                            List.of(service.sending()),
                            executions));
        }
        return new WorkloadResult(
                completions.size() + services.size(),
                skipped,
                mostRunning,
                counters,
                percentiles(),
                outcomes,
                codes,
                resumes(),
                violations);
    }

    private static void count(Map<String, Integer> codes, Sending sending) {
        if (!sending.code().isEmpty()) {
            codes.merge(sending.code(), 1, Integer::sum);
        }
    }

    private WorkloadResult.Percentiles percentiles() {
        Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
        completions.stream()
                .flatMap(completion -> completion.timeToFirstToken().stream())
                .forEach(
                        time ->
                                histogram.recordValue(
                                        Math.max(
                                                0, TimeUnit.NANOSECONDS.toMicros(time.toNanos()))));
        return new WorkloadResult.Percentiles(
                percentile(histogram, 50), percentile(histogram, 95), percentile(histogram, 99));
    }

    private static Duration percentile(Histogram histogram, double percentile) {
        long microseconds = histogram.getValueAtPercentile(percentile);
        return Duration.ofNanos(TimeUnit.MICROSECONDS.toNanos(microseconds));
    }
}
