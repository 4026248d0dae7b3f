package org.bergamothoist.measure;

import java.time.Duration;
import org.HdrHistogram.Histogram;

/** Collects the figures of one run; requests that arrived before the measured time do not count. */
final class RunRecorder {

    private static final long LONGEST_MILLISECONDS = 3_600_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MILLISECONDS_PER_SECOND = 1000.0;

    private final long startMilliseconds;
    private final long endMilliseconds;
    private final Histogram firstTokens = new Histogram(LONGEST_MILLISECONDS, SIGNIFICANT_DIGITS);
    private long cachedBlocks;
    private long allBlocks;
    private long promptTokens;
    private long wastedTokens;
    private long refused;
    private long offered;
    private long finished;

    RunRecorder(Duration start, Duration end) {
        this.startMilliseconds = start.toMillis();
        this.endMilliseconds = end.toMillis();
    }

    private boolean measured(FakeRequest request) {
        return request.arrivalMilliseconds() >= startMilliseconds;
    }

    void offered(FakeRequest request) {
        offered += measured(request) ? 1 : 0;
    }

    void refused(FakeRequest request) {
        refused += measured(request) ? 1 : 0;
    }

    void prefilled(FakeRequest request, int cached, int bestElsewhere) {
        if (!measured(request)) {
            return;
        }
        cachedBlocks += cached;
        allBlocks += request.chain().length();
        promptTokens += request.chain().promptTokens();
        wasted(request, (long) Math.max(0, bestElsewhere - cached) * EngineProfile.BLOCK_TOKENS);
    }

    void wasted(FakeRequest request, long tokens) {
        wastedTokens += measured(request) ? tokens : 0;
    }

    void firstToken(FakeRequest request, long nowMilliseconds) {
        if (measured(request)) {
            firstTokens.recordValue(nowMilliseconds - request.arrivalMilliseconds());
        }
    }

    void finished(long nowMilliseconds) {
        if (nowMilliseconds >= startMilliseconds && nowMilliseconds < endMilliseconds) {
            finished++;
        }
    }

    RunResult result() {
        double seconds = (endMilliseconds - startMilliseconds) / MILLISECONDS_PER_SECOND;
        return new RunResult(
                allBlocks == 0 ? 0 : (double) cachedBlocks / allBlocks,
                firstTokens.getValueAtPercentile(50),
                firstTokens.getValueAtPercentile(95),
                firstTokens.getValueAtPercentile(99),
                wastedTokens,
                promptTokens,
                refused,
                offered,
                firstTokens.getTotalCount(),
                finished / seconds);
    }
}
