package org.bergamothoist.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Runs fleets in which a few daemons read the store, beside fleets in which all do. */
class StoreFeedsFleetTest {

    private static final int ALL = 1_000;
    private static final int DEFAULT_READERS = 4;
    private static final int LARGE_FLEET = 100;

    /** Requests and answers of twice as many daemons as a reader has on average at most. */
    private static final double MOST_MESSAGES_PER_SECOND = 2 * 24 * 2 * 2.5;

    /**
     * What a run measured: calls of all daemons, messages and bytes of the busiest one, all before
     * the writes, and ages of the written records in milliseconds.
     */
    private record Result(
            double callsPerSecond,
            long readers,
            long p50,
            long p99,
            long longest,
            double messagesPerSecond,
            double bytesPerSecond) {}

    private static Result run(int daemons, int storeReaders) {
        StoreFeedsModel model = new StoreFeedsModel(daemons, storeReaders);
        model.settle();
        int seconds = daemons > LARGE_FLEET ? 5 : 20;
        model.time.advance(Duration.ofSeconds(seconds));
        double calls = model.each(daemon -> daemon.calls).sum() / (double) seconds;
        double messages = busiest(model, daemon -> daemon.messages) / seconds;
        double bytes = busiest(model, daemon -> daemon.bytes) / seconds;
        model.beginWrites();
        model.time.advance(Duration.ofSeconds(seconds));
        long readers = model.readers().size();
        model.finish();
        long[] ages = model.ages(daemon -> true);
        Result result =
                new Result(
                        calls,
                        readers,
                        ages[ages.length / 2],
                        ages[ages.length * 99 / 100],
                        ages[ages.length - 1],
                        messages,
                        bytes);
        System.out.printf("%d daemons, %d readers at least: %s%n", daemons, storeReaders, result);
        return result;
    }

    private static double busiest(
            StoreFeedsModel model, ToLongFunction<StoreFeedsModel.Daemon> value) {
        return model.each(value).max().orElseThrow();
    }

    /**
     * Guards against store calls and a reader's work that grow with the fleet, and against records
     * that come later than the limit allows.
     */
    @ParameterizedTest
    @CsvSource({"6,1.0,6", "30,0.35,4", "77,0.2,4", "300,0.2,16", "420,0.2,20"})
    void fewDaemonsReadForAll(int daemons, double shareOfCalls, int readers) {
        Result all = run(daemons, ALL);
        Result few = run(daemons, DEFAULT_READERS);
        assertThat(few.callsPerSecond()).isLessThanOrEqualTo(all.callsPerSecond() * shareOfCalls);
        assertThat(few.readers()).isEqualTo(readers);
        assertThat(few.p99()).isLessThan(StoreFeedsModel.LIMIT.toMillis() / 2);
        assertThat(few.longest()).isLessThan(StoreFeedsModel.LIMIT.toMillis() * 65 / 100);
        assertThat(few.messagesPerSecond()).isLessThan(MOST_MESSAGES_PER_SECOND);
    }

    /** Returns how often a daemon has asked others for what the store may have lost. */
    private static long recoveries(StoreFeedsModel.Daemon daemon) {
        return daemon.metrics.counter("record-recoveries").getCount();
    }

    /**
     * Guards against records of a new era that daemons pass over, among them those that get the
     * records from others, against calls that a fallback multiplies, and against a daemon that does
     * not ask the others once at its start and once after the fallback.
     */
    @ParameterizedTest
    @CsvSource({"6", "77", "300"})
    void fallbackLosesNoRecordsAndMultipliesNoCalls(int daemons) {
        StoreFeedsModel model = new StoreFeedsModel(daemons, DEFAULT_READERS);
        model.settle();
        assertThat(model.each(StoreFeedsFleetTest::recoveries)).containsOnly(1L);
        model.beginWrites();
        model.time.advanceMillis(8_000);
        model.pauseWrites();
        long callsBefore = model.each(daemon -> daemon.calls).sum();
        long messagesBefore = model.each(daemon -> daemon.messages).sum();
        model.fallBack(100);
        model.beginWrites();
        model.time.advanceMillis(8_000);
        model.pauseWrites();
        long calls = model.each(daemon -> daemon.calls).sum() - callsBefore;
        long messages = model.each(daemon -> daemon.messages).sum() - messagesBefore;
        model.finish();
        assertThat(model.each(StoreFeedsFleetTest::recoveries)).containsOnly(2L);
        long[] ages = model.ages(daemon -> true);
        System.out.printf(
                "%d daemons, 10 s after a fallback: calls %d (%d before), messages %d (%d),"
                        + " p99 %d longest %d%n",
                daemons,
                calls,
                callsBefore,
                messages,
                messagesBefore,
                ages[ages.length * 99 / 100],
                ages[ages.length - 1]);
        assertThat(ages[ages.length - 1]).isLessThan(StoreFeedsModel.LIMIT.toMillis());
        assertThat(calls).isLessThan(2 * callsBefore);
        assertThat(messages).isLessThan(2 * messagesBefore);
    }

    private enum Fault {
        DIES(reader -> reader.dead = true),
        IS_CUT_FROM_THE_STORE(reader -> reader.cutFromStore = true),
        LAGS(reader -> reader.storeDelay = Duration.ofMillis(1_500)),
        IS_CUT_FROM_ALL_PEERS(reader -> reader.cutFromPeers = true);

        private final Consumer<StoreFeedsModel.Daemon> begin;

        Fault(Consumer<StoreFeedsModel.Daemon> begin) {
            this.begin = begin;
        }
    }

    /** Guards against daemons that wait for readers that do not bring the records any more. */
    @ParameterizedTest
    @CsvSource({
        "DIES,1",
        "DIES,4",
        "IS_CUT_FROM_THE_STORE,1",
        "IS_CUT_FROM_THE_STORE,4",
        "LAGS,1",
        "LAGS,4",
        "IS_CUT_FROM_ALL_PEERS,1",
        "IS_CUT_FROM_ALL_PEERS,4"
    })
    void recordsArriveInTimeWhenReadersFail(Fault fault, int count) {
        StoreFeedsModel model = new StoreFeedsModel(77, DEFAULT_READERS);
        model.settle();
        model.beginWrites();
        model.time.advanceMillis(3_000);
        List<StoreFeedsModel.Daemon> faulty =
                model.readers().stream()
                        .sorted(Comparator.comparing(model.daemons::indexOf))
                        .limit(count)
                        .toList();
        faulty.forEach(fault.begin);
        model.time.advanceMillis(12_000);
        // Readers that all lag still say that they reach the store, and the others read themselves.
        if (fault != Fault.LAGS || count == 1) {
            assertThat(model.readers()).hasSizeLessThanOrEqualTo(2 * DEFAULT_READERS);
        }
        model.finish();
        long[] others = model.ages(daemon -> !faulty.contains(daemon));
        long[] own = model.ages(faulty::contains);
        System.out.printf(
                "%d %s: others p99 %d longest %d, own longest %s%n",
                count,
                fault,
                others[others.length * 99 / 100],
                others[others.length - 1],
                Arrays.stream(own).max());
        assertThat(others[others.length - 1]).isLessThan(StoreFeedsModel.LIMIT.toMillis());
        if (count == 1 && fault != Fault.DIES) {
            assertThat(own[own.length - 1]).isLessThan(StoreFeedsModel.LIMIT.toMillis());
        }
    }
}
