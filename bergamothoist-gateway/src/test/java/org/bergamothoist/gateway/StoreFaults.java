package org.bergamothoist.gateway;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.feed.FeedRecord;
import org.bergamothoist.core.feed.FeedSource;
import org.bergamothoist.core.lease.LeaseTopic;

/** Wrappers of the model's store that put faults into the code under test. */
final class StoreFaults {

    private StoreFaults() {}

    /** Returns what a daemon's feeds are read from. */
    static FeedSource feedSource(StoreModelClient client, StoreFallbackModel.Fault fault) {
        return fault == StoreFallbackModel.Fault.MIRROR_ORDERS_BY_OFFSET_ALONE
                ? new SourceWithoutEra(client)
                : client;
    }

    private record SourceWithoutEra(FeedSource source) implements FeedSource {

        @Override
        public CompletionStage<Page> read(Feed feed, long from, Duration wait) {
            return source.read(feed, from, wait)
                    .thenApply(page -> new Page(withoutEra(page.records()), page.next().offset()));
        }

        @Override
        public CompletionStage<Listing> list(Feed feed) {
            return source.list(feed)
                    .thenApply(
                            listing ->
                                    new Listing(
                                            withoutEra(listing.records()), listing.end().offset()));
        }

        private static List<FeedRecord> withoutEra(List<FeedRecord> records) {
            return records.stream()
                    .map(record -> new FeedRecord(record.key(), record.offset(), record.value()))
                    .toList();
        }
    }

    /** Returns the log of a daemon's lease. */
    static LeaseTopic leaseTopic(StoreModelClient client, StoreFallbackModel.Fault fault) {
        return switch (fault) {
            case NUMBERS_FROM_OFFSETS_ALONE -> new TopicWithoutEra(client, false);
            case EMPTY_LOG_TAKEN_OVER_AT_ONCE -> new TopicWithoutEra(client, true);
            case APPEND_OF_EARLIER_ERA_CONFIRMED -> new ConfirmingTopic(client);
            default -> client;
        };
    }

    private record TopicWithoutEra(LeaseTopic topic, boolean onlyIfEmpty) implements LeaseTopic {

        @Override
        public CompletionStage<Tail> read() {
            return topic.read()
                    .thenApply(
                            tail ->
                                    onlyIfEmpty && tail.newest().isPresent()
                                            ? tail
                                            : new Tail(tail.newest(), tail.end()));
        }

        @Override
        public CompletionStage<OptionalLong> append(Holding holding, long end) {
            return topic.append(holding, end);
        }
    }

    private record ConfirmingTopic(StoreModelClient client) implements LeaseTopic {

        @Override
        public CompletionStage<Tail> read() {
            return client.read();
        }

        @Override
        public CompletionStage<OptionalLong> append(Holding holding, long end) {
            return client.appendInAnyEra(holding, end);
        }
    }
}
