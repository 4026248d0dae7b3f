package org.bergamothoist.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.bergamothoist.core.feed.ExpiredOffsetException;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.feed.FeedRecord;
import org.bergamothoist.core.feed.FeedSource;
import org.bergamothoist.core.feed.LogPosition;
import org.bergamothoist.core.feed.OutdatedAnswerException;
import org.bergamothoist.core.feed.StoreEra;
import org.bergamothoist.core.lease.LeaseTopic;

/** A daemon's client of the model's store, which handles eras like the client of the platform. */
final class StoreModelClient implements FeedSource, LeaseTopic {

    static final String LEASE_TOPIC = "lease";

    private static final String LEASE_KEY = "orders";

    private final StoreEra era;
    private final EraStoreModel store;
    private final Network network;

    /** Carries calls to the store, or loses or delays them. */
    @FunctionalInterface
    interface Network {

        /**
         * Sends a call.
         *
         * @param wait time that the call waits at the store at most
         */
        CompletableFuture<EraStoreModel.Response> send(Call call, String topic, Duration wait);
    }

    /**
     * A call.
     *
     * @param end end on which an append is conditional
     */
    record Call(OptionalLong end, Consumer<EraStoreModel.Reply> handler) {}

    StoreModelClient(StoreEra era, EraStoreModel store, Network network) {
        this.era = era;
        this.store = store;
        this.network = network;
    }

    private CompletionStage<EraStoreModel.Response> call(Call call, String topic, Duration wait) {
        return network.send(call, topic, wait)
                .thenApply(
                        response -> {
                            era.onAnnounced(response.era());
                            return response;
                        });
    }

    private LogPosition position(long offset) {
        return new LogPosition(era.current(), offset);
    }

    private FeedRecord feedRecord(EraStoreModel.Entry entry, long offset) {
        return new FeedRecord(
                entry.key(),
                position(offset),
                entry.value().map(value -> value.toString().getBytes(StandardCharsets.UTF_8)));
    }

    @Override
    public CompletionStage<Page> read(Feed feed, long from, Duration wait) {
        StoreEra.SentCall sent = era.onSent(feed.name());
        Call call =
                new Call(OptionalLong.empty(), reply -> store.read(feed.name(), from, wait, reply));
        return call(call, feed.name(), wait)
                .thenApply(
                        response -> {
                            if (response.status() == EraStoreModel.GONE) {
                                era.requireSameEra(sent);
                                throw new ExpiredOffsetException(feed, from);
                            }
                            era.onEnd(sent, response.end());
                            List<FeedRecord> records = records(response);
                            era.requireSameEra(sent);
                            return new Page(records, position(from + records.size()));
                        });
    }

    private List<FeedRecord> records(EraStoreModel.Response response) {
        List<FeedRecord> records = new ArrayList<>();
        for (int index = 0; index < response.entries().size(); index++) {
            records.add(feedRecord(response.entries().get(index), response.offsets().get(index)));
        }
        return records;
    }

    @Override
    public CompletionStage<Listing> list(Feed feed) {
        StoreEra.SentCall sent = era.onSent(feed.name());
        return listPage(feed.name(), "")
                .thenCompose(
                        response -> {
                            era.onEnd(sent, response.end());
                            return addPage(
                                    feed.name(), new ArrayList<>(), response, response.end());
                        });
    }

    private CompletionStage<EraStoreModel.Response> listPage(String topic, String after) {
        Call call = new Call(OptionalLong.empty(), reply -> store.list(topic, after, reply));
        return call(call, topic, Duration.ZERO);
    }

    private CompletionStage<Listing> addPage(
            String topic, List<FeedRecord> records, EraStoreModel.Response page, long end) {
        records.addAll(records(page));
        if (!page.hasMore()) {
            return CompletableFuture.completedStage(new Listing(records, position(end)));
        }
        StoreEra.SentCall sent = era.onSent(topic);
        return listPage(topic, records.get(records.size() - 1).key())
                .thenCompose(
                        next -> {
                            era.onEnd(sent, next.end());
                            era.requireSameEra(sent);
                            return addPage(topic, records, next, end);
                        });
    }

    @Override
    public CompletionStage<Tail> read() {
        StoreEra.SentCall sent = era.onSent(LEASE_TOPIC);
        return listPage(LEASE_TOPIC, "")
                .thenApply(
                        response -> {
                            era.onEnd(sent, response.end());
                            Optional<Holding> newest =
                                    response.entries().stream()
                                            .findFirst()
                                            .flatMap(EraStoreModel.Entry::value)
                                            .map(Holding.class::cast);
                            return new Tail(newest, response.end(), era.current());
                        });
    }

    @Override
    public CompletionStage<OptionalLong> append(Holding holding, long end) {
        StoreEra.SentCall sent = era.onSent(LEASE_TOPIC);
        return call(appendCall(holding, end), LEASE_TOPIC, Duration.ZERO)
                .thenApply(
                        response -> {
                            if (response.status() == EraStoreModel.OK) {
                                era.onEnd(sent, response.end());
                            }
                            era.requireSameEra(sent);
                            return appended(response, end);
                        });
    }

    private Call appendCall(Holding holding, long end) {
        return new Call(
                OptionalLong.of(end),
                reply -> store.append(LEASE_TOPIC, LEASE_KEY, holding, end, reply));
    }

    private static OptionalLong appended(EraStoreModel.Response response, long end) {
        return response.status() == EraStoreModel.OK
                ? OptionalLong.of(end + 1)
                : OptionalLong.empty();
    }

    /** Appends like {@link #append}, but takes answers of earlier eras for confirmations. */
    CompletionStage<OptionalLong> appendInAnyEra(Holding holding, long end) {
        return network.send(appendCall(holding, end), LEASE_TOPIC, Duration.ZERO)
                .thenApply(
                        response -> {
                            try {
                                era.onAnnounced(response.era());
                            } catch (OutdatedAnswerException exception) {
                                return appended(response, end);
                            }
                            return appended(response, end);
                        });
    }
}
