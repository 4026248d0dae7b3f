package org.bergamothoist.core.timeline;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bergamothoist.core.identity.DaemonId;
import org.junit.jupiter.api.Test;

class TimelineTest {

    private static final Instant START = Instant.parse("2026-03-05T08:00:00Z");

    /** Guards against listing effects before their causes when daemons' wall clocks differ. */
    @Property(tries = 100, seed = "4201")
    void mergedTimelineKeepsCausalOrderUnderClockSkew(@ForAll long seed) {
        Random random = new Random(seed);
        Instant[] clocks = new Instant[4];
        List<BoundedTimeline> timelines = new ArrayList<>();
        for (int index = 0; index < clocks.length; index++) {
            int daemon = index;
            clocks[daemon] = START.plusSeconds(random.nextInt(-1_700, 1_700));
            timelines.add(new BoundedTimeline(new DaemonId("d" + daemon, 1), () -> clocks[daemon]));
        }
        int sender = 0;
        for (int step = 0; step < 50; step++) {
            int receiver = random.nextInt(clocks.length);
            timelines.get(receiver).observe(timelines.get(sender).nextTimestamp());
            timelines.get(receiver).record(EventKind.ORDER_SENT, "step", "" + step);
            clocks[receiver] = clocks[receiver].plusMillis(random.nextInt(-20, 50));
            sender = receiver;
        }
        List<Event> merged =
                TimelineMerger.merge(
                        timelines.stream()
                                .map(timeline -> timeline.eventsAfter(new Timestamp(0, 0)))
                                .toList());
        assertThat(merged)
                .extracting(Event::detail)
                .containsExactlyElementsOf(
                        IntStream.range(0, 50).mapToObj(String::valueOf).toList());
    }

    /** Guards against one daemon's wrong clock moving all others into the future. */
    @Test
    void timestampTooFarAheadIsRejectedAndRecorded() {
        BoundedTimeline timeline = new BoundedTimeline(new DaemonId("a", 1), () -> START);
        Instant farAhead = START.plus(HybridLogicalClock.MAXIMUM_LEAD).plus(Duration.ofMillis(1));
        timeline.observe(new Timestamp(farAhead.toEpochMilli(), 0));
        assertThat(timeline.nextTimestamp().milliseconds()).isEqualTo(START.toEpochMilli());
        assertThat(timeline.rejectedTimestamps()).isEqualTo(1);
        assertThat(timeline.eventsAfter(new Timestamp(0, 0)))
                .extracting(Event::kind)
                .containsExactly(EventKind.CLOCK_LEAD_REFUSED);
    }

    /** Guards against unbounded memory use and against evicting the newest events. */
    @Test
    void fullBufferEvictsTheOldestEvents() {
        BoundedTimeline timeline = new BoundedTimeline(new DaemonId("a", 1), () -> START, 3);
        for (int event = 0; event < 5; event++) {
            timeline.record(EventKind.PEER_UP, "" + event, "");
        }
        assertThat(timeline.eventsAfter(new Timestamp(0, 0)))
                .extracting(Event::subject)
                .containsExactly("2", "3", "4");
    }

    /** Guards against repeated timestamps when the wall clock stands still or is set back. */
    @Test
    void timestampsIncreaseWhenTheWallClockIsSetBack() {
        Instant[] wall = {START};
        HybridLogicalClock clock = new HybridLogicalClock(() -> wall[0]);
        Timestamp first = clock.next();
        Timestamp second = clock.next();
        wall[0] = START.minusSeconds(60);
        assertThat(List.of(first, second, clock.next())).isSorted().doesNotHaveDuplicates();
    }
}
