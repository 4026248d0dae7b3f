package org.bergamothoist.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/** A store of keyed logs in virtual time, which may come back from an older copy of itself. */
final class EraStoreModel {

    static final int OK = 200;
    static final int GONE = 410;
    static final int PRECONDITION_FAILED = 412;

    static final Duration MAXIMUM_COPY_AGE = Duration.ofSeconds(10);

    private static final Duration COPY_INTERVAL = Duration.ofMillis(100);

    /** Smaller than the number of keys, so that listings have several pages. */
    private static final int PAGE_KEYS = 4;

    private final VirtualTimeScheduler time;
    private final Random random;
    private final boolean announcing;
    private final Deque<Copy> copies = new ArrayDeque<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private final List<Runnable> appendListeners = new ArrayList<>();
    private Map<String, List<Entry>> topics = new HashMap<>();
    private long era = 1;
    private boolean away;
    private Instant availableSince;

    /**
     * A record.
     *
     * @param value empty for a tombstone
     */
    record Entry(String key, Optional<Object> value, Instant writtenAt) {}

    /**
     * A response.
     *
     * @param era values of the header that announces the era
     * @param offset offset of the first record, or of the record that was appended
     * @param offsets offsets of the records
     */
    record Response(
            int status,
            List<String> era,
            long offset,
            long end,
            List<Entry> entries,
            List<Long> offsets,
            boolean hasMore) {}

    /** Receives the outcome of a call. */
    interface Reply {

        void respond(Response response);

        /** The connection is closed without a response. */
        void reset();

        /** Nothing is ever sent. */
        void remainSilent();
    }

    private record Copy(Instant takenAt, Map<String, List<Entry>> topics) {}

    private record Waiter(String topic, long from, Instant until, Reply reply) {}

    EraStoreModel(VirtualTimeScheduler time, Random random, boolean announcing) {
        this.time = time;
        this.random = random;
        this.announcing = announcing;
        this.availableSince = time.instant();
        takeCopies();
    }

    private void takeCopies() {
        if (!away) {
            Map<String, List<Entry>> copied = new HashMap<>();
            topics.forEach((topic, entries) -> copied.put(topic, List.copyOf(entries)));
            copies.addLast(new Copy(time.instant(), copied));
        }
        Instant oldest = time.instant().minus(MAXIMUM_COPY_AGE);
        while (copies.size() > 1 && copies.getFirst().takenAt().isBefore(oldest)) {
            copies.removeFirst();
        }
        time.schedule(COPY_INTERVAL, this::takeCopies);
    }

    /** Adds a listener of appended records and of returns. */
    void addChangeListener(Runnable listener) {
        appendListeners.add(listener);
    }

    boolean isAway() {
        return away;
    }

    /** Returns the time of the last return, or that of the start. */
    Instant availableSince() {
        return availableSince;
    }

    long end(String topic) {
        return entries(topic).size();
    }

    private List<Entry> entries(String topic) {
        return topics.computeIfAbsent(topic, name -> new ArrayList<>());
    }

    /** Returns the newest record of each key, tombstones included. */
    Map<String, Entry> newest(String topic) {
        Map<String, Entry> newest = new TreeMap<>();
        entries(topic).forEach(entry -> newest.put(entry.key(), entry));
        return newest;
    }

    /** Goes away; open calls are reset, get no response, or stay open over the change. */
    void leave() {
        away = true;
        for (Waiter waiter : List.copyOf(waiters)) {
            if (random.nextInt(3) > 0) {
                waiters.remove(waiter);
                refuse(waiter.reply());
            }
        }
    }

    private void refuse(Reply reply) {
        if (random.nextBoolean()) {
            reply.reset();
        } else {
            reply.remainSilent();
        }
    }

    /** Returns from the newest copy that is at least as old, or the oldest one there is. */
    String returnFromCopy(Duration age) {
        Instant wanted = time.instant().minus(age);
        Copy copy = copies.getFirst();
        for (Copy candidate : copies) {
            copy = candidate.takenAt().isAfter(wanted) ? copy : candidate;
        }
        Map<String, List<Entry>> restored = new HashMap<>();
        copy.topics().forEach((topic, entries) -> restored.put(topic, new ArrayList<>(entries)));
        topics = restored;
        era++;
        away = false;
        availableSince = time.instant();
        serveWaiters();
        appendListeners.forEach(Runnable::run);
        return "era=" + era + " copy-age=" + Duration.between(copy.takenAt(), time.instant());
    }

    /** Appends a record, unconditionally. */
    void put(String topic, String key, Optional<Object> value) {
        entries(topic).add(new Entry(key, value, time.instant()));
        serveWaiters();
        appendListeners.forEach(Runnable::run);
    }

    private Response response(int status, long offset, List<Entry> entries, String topic) {
        List<Long> offsets = new ArrayList<>();
        for (int index = 0; index < entries.size(); index++) {
            offsets.add(offset + index);
        }
        return new Response(status, header(), offset, end(topic), entries, offsets, false);
    }

    private List<String> header() {
        return announcing ? List.of(String.valueOf(era)) : List.of();
    }

    /** Appends a record if the log ends at the offset. */
    void append(String topic, String key, Object value, long at, Reply reply) {
        if (away) {
            refuse(reply);
            return;
        }
        if (at != end(topic)) {
            reply.respond(response(PRECONDITION_FAILED, at, List.of(), topic));
            return;
        }
        entries(topic).add(new Entry(key, Optional.of(value), time.instant()));
        reply.respond(response(OK, at, List.of(), topic));
        appendListeners.forEach(Runnable::run);
    }

    void read(String topic, long from, Duration wait, Reply reply) {
        if (away) {
            refuse(reply);
            return;
        }
        Waiter waiter = new Waiter(topic, from, time.instant().plus(wait), reply);
        waiters.add(waiter);
        serve(waiter);
        time.schedule(wait, () -> serve(waiter));
    }

    private void serveWaiters() {
        List.copyOf(waiters).forEach(this::serve);
    }

    private void serve(Waiter waiter) {
        if (away || !waiters.contains(waiter)) {
            return;
        }
        List<Entry> all = entries(waiter.topic());
        if (waiter.from() > all.size()) {
            waiters.remove(waiter);
            waiter.reply().respond(response(GONE, 0, List.of(), waiter.topic()));
        } else if (waiter.from() < all.size() || !time.instant().isBefore(waiter.until())) {
            waiters.remove(waiter);
            List<Entry> found = List.copyOf(all.subList((int) waiter.from(), all.size()));
            waiter.reply().respond(response(OK, waiter.from(), found, waiter.topic()));
        }
    }

    /** Lists some of the keys that follow a key in alphabetical order. */
    void list(String topic, String after, Reply reply) {
        if (away) {
            refuse(reply);
            return;
        }
        List<Entry> all = entries(topic);
        Map<String, Long> offsets = new TreeMap<>();
        for (int offset = 0; offset < all.size(); offset++) {
            if (all.get(offset).value().isPresent()) {
                offsets.put(all.get(offset).key(), (long) offset);
            } else {
                offsets.remove(all.get(offset).key());
            }
        }
        List<Long> following =
                offsets.entrySet().stream()
                        .filter(offset -> offset.getKey().compareTo(after) > 0)
                        .map(Map.Entry::getValue)
                        .toList();
        List<Long> page = following.subList(0, Math.min(PAGE_KEYS, following.size()));
        reply.respond(
                new Response(
                        OK,
                        header(),
                        0,
                        all.size(),
                        page.stream().map(offset -> all.get(offset.intValue())).toList(),
                        page,
                        page.size() < following.size()));
    }
}
