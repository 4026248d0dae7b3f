package org.bergamothoist.measure;

/** The raw figures of one run, for the measured time only. */
record RunResult(
        double hitRate,
        long p50,
        long p95,
        long p99,
        long wastedTokens,
        long promptTokens,
        long refused,
        long offered,
        long answered,
        double answeredPerSecond) {}
