package org.bergamothoist.standin;

import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/** An append-only log in memory. Append times come from the clock and never decrease. */
public final class LogStandIn implements AutoCloseable {

    /** Largest record in bytes. */
    public static final int MAXIMUM_RECORD_BYTES = 4 << 20;

    /** Keeps answers below the 16 MiB that clients read, base64 included. */
    private static final int MAXIMUM_PAGE_BYTES = 8 << 20;

    private static final int MAXIMUM_PAGE_RECORDS = 1_000;

    private final LogSettings settings;
    private final InstantSource clock;
    private final StandInHttpServer server;
    private final RateLimit rateLimit;
    private final Deque<Record> records = new ArrayDeque<>();
    private long endOffset = 1;
    private Instant lastAppendTime = Instant.MIN;
    private boolean down;
    private boolean readsRefused;
    private boolean appendsRefused;
    private Duration delay = Duration.ZERO;
    private int answersToLose;
    private int appendsToDelay;
    private Duration appendDelay = Duration.ZERO;
    private Predicate<StandInRequest> partition = request -> false;

    /** A record that the log keeps. */
    public record Record(long offset, Instant appendTime, byte[] payload) {}

    private record AppendAnswer(long offset) {}

    private record RecordMessage(long offset, String appendTime, String payload) {}

    private record PageMessage(
            long firstRetainedOffset, long endOffset, List<RecordMessage> records) {}

    /** Starts an empty log. */
    public LogStandIn(EventLoopGroup group, LogSettings settings, InstantSource clock) {
        this.settings = settings;
        this.clock = clock;
        this.rateLimit = new RateLimit(clock, settings.appendsPerSecond());
        this.server = StandInHttpServer.start(group, this::handle);
    }

    /** Returns the TCP port. */
    public int port() {
        return server.port();
    }

    /** Answers all calls with 503. */
    public void down() {
        server.run(() -> down = true);
    }

    /** Loses the records from an offset on, which is given out again; faults stay as they are. */
    public void loseRecordsFrom(long offset) {
        server.run(
                () -> {
                    records.removeIf(record -> record.offset() >= offset);
                    endOffset = Math.min(endOffset, offset);
                });
    }

    /** Ends all faults. */
    public void recover() {
        server.run(
                () -> {
                    down = false;
                    readsRefused = false;
                    appendsRefused = false;
                    delay = Duration.ZERO;
                    answersToLose = 0;
                    appendsToDelay = 0;
                    partition = request -> false;
                });
    }

    /** Delays all answers; appends take effect on arrival. */
    public void slow(Duration answerDelay) {
        server.run(() -> delay = answerDelay);
    }

    /** Answers reads with 503 while true. */
    public void refuseReads(boolean refused) {
        server.run(() -> readsRefused = refused);
    }

    /** Answers appends with 503 while true. */
    public void refuseAppends(boolean refused) {
        server.run(() -> appendsRefused = refused);
    }

    /** Lets the next appends take effect, but resets their connections instead of answering. */
    public void loseNextAnswers(int answers) {
        server.run(() -> answersToLose = answers);
    }

    /** Lets the next appends take effect and answer only after the delay. */
    public void delayNextAppends(int appends, Duration effectDelay) {
        server.run(
                () -> {
                    appendsToDelay = appends;
                    appendDelay = effectDelay;
                });
    }

    /** Resets the connections of requests for which the predicate holds. */
    public void partition(Predicate<StandInRequest> cutOff) {
        server.run(() -> partition = cutOff);
    }

    /** Appends a record as another publisher would, outside the rate limit; returns its offset. */
    public long append(byte[] payload) {
        return server.call(() -> store(payload));
    }

    /** Returns all retained records. */
    public List<Record> records() {
        return server.call(
                () -> {
                    expire();
                    return List.copyOf(records);
                });
    }

    /** Returns the offset of the next record. */
    public long endOffset() {
        return server.call(() -> endOffset);
    }

    @Override
    public void close() {
        server.close();
    }

    private void handle(StandInRequest request, StandInResponse response) {
        if (partition.test(request)) {
            response.reset();
            return;
        }
        boolean append = request.method().equals("POST");
        if (!request.path().equals("/records")) {
            response.message(404, "unknown path");
        } else if (down || (append ? appendsRefused : readsRefused)) {
            server.after(delay, () -> response.message(503, "log is out of service"));
        } else if (append) {
            acceptAppend(request, response);
        } else {
            PageMessage page = page(request);
            server.after(delay, () -> response.json(200, page));
        }
    }

    private void acceptAppend(StandInRequest request, StandInResponse response) {
        if (request.body().length > MAXIMUM_RECORD_BYTES) {
            response.message(413, "record is too large");
        } else if (!rateLimit.tryAcquire()) {
            response.message(429, "append rate is exceeded");
        } else if (appendsToDelay > 0) {
            appendsToDelay--;
            server.schedule(appendDelay, () -> finishAppend(request, response));
        } else {
            finishAppend(request, response);
        }
    }

    private void finishAppend(StandInRequest request, StandInResponse response) {
        AppendAnswer answer = new AppendAnswer(store(request.body()));
        if (answersToLose > 0) {
            answersToLose--;
            server.after(delay, response::reset);
            return;
        }
        server.after(delay, () -> response.json(201, answer));
    }

    private long store(byte[] payload) {
        Instant now = clock.instant();
        lastAppendTime = now.isAfter(lastAppendTime) ? now : lastAppendTime;
        records.add(new Record(endOffset, lastAppendTime, payload.clone()));
        expire();
        return endOffset++;
    }

    private void expire() {
        Instant oldest = clock.instant().minus(settings.retention());
        while (!records.isEmpty()
                && (records.size() > settings.maximumRecords()
                        || records.getFirst().appendTime().isBefore(oldest))) {
            records.removeFirst();
        }
    }

    private PageMessage page(StandInRequest request) {
        expire();
        long from = request.parameter("from", 1);
        long maximum = Math.min(request.parameter("maximum", 100), MAXIMUM_PAGE_RECORDS);
        long firstRetained = records.isEmpty() ? endOffset : records.getFirst().offset();
        List<RecordMessage> page = new ArrayList<>();
        int bytes = 0;
        for (Iterator<Record> rest = records.iterator();
                rest.hasNext() && page.size() < maximum; ) {
            Record record = rest.next();
            if (record.offset() < from) {
                continue;
            }
            bytes += record.payload().length;
            if (!page.isEmpty() && bytes > MAXIMUM_PAGE_BYTES) {
                break;
            }
            page.add(message(record));
        }
        return new PageMessage(firstRetained, endOffset, page);
    }

    private static RecordMessage message(Record record) {
        return new RecordMessage(
                record.offset(),
                record.appendTime().toString(),
                Base64.getEncoder().encodeToString(record.payload()));
    }
}
