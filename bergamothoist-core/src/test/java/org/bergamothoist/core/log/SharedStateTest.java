package org.bergamothoist.core.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bergamothoist.core.log.LogRecordFixtures.FIRST;
import static org.bergamothoist.core.log.LogRecordFixtures.SECOND;
import static org.bergamothoist.core.log.LogRecordFixtures.claimKey;
import static org.bergamothoist.core.log.LogRecordFixtures.claims;
import static org.bergamothoist.core.log.LogRecordFixtures.daemon;
import static org.bergamothoist.core.log.LogRecordFixtures.fingerprint;
import static org.bergamothoist.core.log.LogRecordFixtures.joined;
import static org.bergamothoist.core.log.LogRecordFixtures.loss;
import static org.bergamothoist.core.log.LogRecordFixtures.organisation;
import static org.bergamothoist.core.log.LogRecordFixtures.releases;
import static org.bergamothoist.core.log.LogRecordFixtures.sheet;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.log.ApplyResult.ClaimsDecided;
import org.bergamothoist.core.log.ApplyResult.LeaseDecided;
import org.bergamothoist.core.log.ApplyResult.SheetDecided;
import org.bergamothoist.core.log.LogRecord.ClaimKey;
import org.bergamothoist.core.log.LogRecord.LeaseRequest;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.sheet.SheetVerdict;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SharedStateTest {

    private final SharedState state = new SharedState();
    private Instant now = Instant.parse("2026-03-02T06:00:00Z");

    private ApplyResult apply(LogRecord record) {
        return state.apply(new LogEntry(state.appliedOffset() + 1, now, record));
    }

    private SheetVerdict submit(LogRecord.SheetSubmission sheet) {
        return ((SheetDecided) apply(sheet)).verdict();
    }

    private long version(String name) {
        return state.organisation(new OrganisationId(name)).orElseThrow().version();
    }

    @Test
    @DisplayName("guards against an office silently overwriting the concurrent change of another")
    void refusesConflictingSheetAsAWhole() {
        submit(sheet("biel", organisation("o", 0, 1), organisation("p", 0, 1)));
        submit(sheet("biel", organisation("o", 1, 2)));

        SheetVerdict late = submit(sheet("bern", organisation("o", 1, 3), organisation("p", 1, 9)));

        assertThat(late.accepted()).isFalse();
        assertThat(late.conflicts())
                .containsExactly(new SheetVerdict.Conflict(new OrganisationId("o"), 1, 2, "biel"));
        assertThat(version("o")).isEqualTo(2);
        assertThat(version("p")).isEqualTo(1);
    }

    @Test
    @DisplayName("guards against a resubmission after a lost response reverting a newer sheet")
    void detectsDuplicateSubmission() {
        LogRecord.SheetSubmission first = sheet("biel", organisation("o", 0, 1));
        submit(first);
        submit(sheet("bern", organisation("o", 1, 2)));

        SheetVerdict repeat = submit(first);

        assertThat(repeat.accepted()).isTrue();
        assertThat(repeat.firstOffset()).isEqualTo(1);
        assertThat(repeat.offset()).isEqualTo(3);
        assertThat(version("o")).isEqualTo(2);
    }

    @Test
    @DisplayName("guards against conflicts over unchanged content: it keeps its version")
    void unchangedContentKeepsVersion() {
        submit(sheet("biel", organisation("o", 0, 1)));
        SheetDecided same = (SheetDecided) apply(sheet("bern", organisation("o", 7, 1)));

        assertThat(same.verdict().accepted()).isTrue();
        assertThat(same.changed()).isEmpty();
        assertThat(version("o")).isEqualTo(1);
    }

    @Test
    @DisplayName("guards against a caller key that authenticates as another organisation")
    void callerKeyBelongsToOneOrganisation() {
        submit(sheet("biel", organisation("o", 0, "k1", 1), organisation("p", 0, "k2", 1)));

        SheetVerdict stolen = submit(sheet("bern", organisation("q", 0, "k1", 1)));
        SheetVerdict exchanged =
                submit(sheet("bern", organisation("o", 1, "k2", 1), organisation("p", 1, "k1", 1)));

        assertThat(stolen.conflicts())
                .extracting(SheetVerdict.Conflict::organisation)
                .containsExactly(new OrganisationId("o"));
        assertThat(exchanged.accepted()).isTrue();
        assertThat(state.organisationByKeyDigest("k1").orElseThrow().entry().organisation())
                .isEqualTo(new OrganisationId("p"));
    }

    @Test
    @DisplayName("guards against unbounded growth of the stored verdicts")
    void verdictsAreBounded() {
        for (int number = 0; number <= OrganisationTable.MAXIMUM_VERDICTS; number++) {
            submit(sheet("biel", organisation("o" + number, 0, 1)));
        }
        assertThat(state.snapshot().verdicts()).hasSize(OrganisationTable.MAXIMUM_VERDICTS);
        assertThat(state.snapshot().verdicts().get(0).offset()).isEqualTo(2);
    }

    @Test
    @DisplayName("guards against a request that runs twice because its claim changes hands")
    void firstClaimWins() {
        ClaimKey key = claimKey(now, 1);
        ClaimsDecided first = (ClaimsDecided) apply(claims(FIRST, key));
        ClaimsDecided second = (ClaimsDecided) apply(claims(SECOND, key));
        ClaimsDecided releaseByOther = (ClaimsDecided) apply(releases(SECOND, key));

        assertThat(first.granted()).hasSize(1);
        assertThat(second.refused().get(0).existing().orElseThrow().holder()).isEqualTo(FIRST);
        assertThat(releaseByOther.released()).isEmpty();
        assertThat(state.claim(key)).isPresent();
        apply(releases(FIRST, key));
        assertThat(((ClaimsDecided) apply(claims(SECOND, key))).granted()).hasSize(1);
    }

    @ParameterizedTest
    @CsvSource({"719, true", "720, true", "721, false"})
    @DisplayName("guards against granting a claim again after it was pruned")
    void expiredClaimIsNeverGranted(long ageSeconds, boolean kept) {
        ClaimKey key = claimKey(now, 1);
        apply(claims(FIRST, key));
        now = now.plusSeconds(ageSeconds);

        ClaimsDecided repeat = (ClaimsDecided) apply(claims(SECOND, key));

        assertThat(state.claim(key).isPresent()).isEqualTo(kept);
        assertThat(repeat.granted()).isEmpty();
        assertThat(repeat.refused().get(0).existing().isPresent()).isEqualTo(kept);
    }

    @ParameterizedTest
    @CsvSource({
        "a, 2, a:1, 'a#2'",
        "a, 1, a:1, 'a#1'",
        "a, 0, a:1, 'a#1'",
        "c, 0, a:1, 'c#0'",
        "c, 5, c:1, 'a#1 c#5'"
    })
    @DisplayName("guards against two roster members with the same name or peer address")
    void joinReplacesSameNameOrAddress(
            String name, long incarnation, String address, String expected) {
        apply(joined(FIRST));
        apply(joined(daemon(name, incarnation), address));

        assertThat(state.roster())
                .extracting(member -> member.daemon().toString())
                .containsExactly(expected.split(" "));
    }

    @Test
    @DisplayName("guards against overlooking that the roster was smaller after a member joined")
    void smallestRosterSizeFollowsDepartures() {
        apply(joined(FIRST));
        apply(joined(SECOND));
        apply(joined(daemon("c", 1)));
        apply(joined(daemon("d", 1)));
        apply(new LogRecord.DaemonLeft(daemon("c", 0), FIRST));
        assertThat(smallestRosterSizes()).containsExactly(1, 2, 3, 4);
        apply(new LogRecord.DaemonLeft(daemon("c", 1), FIRST));
        assertThat(smallestRosterSizes()).containsExactly(1, 2, 3);
        apply(joined(daemon("b", 2)));
        assertThat(smallestRosterSizes()).containsExactly(1, 3, 3);
    }

    private List<Integer> smallestRosterSizes() {
        return state.roster().stream().map(RosterMember::smallestRosterSizeSinceJoin).toList();
    }

    @Test
    @DisplayName("guards against two lease holders and against release by a stale fencing number")
    void leaseIsExclusiveUntilItExpires() {
        assertThat(requestLease(FIRST).current().fencingNumber()).isEqualTo(1);
        now = now.plusSeconds(9);
        assertThat(requestLease(SECOND).granted()).isFalse();
        assertThat(requestLease(FIRST).current().fencingNumber()).isEqualTo(3);
        apply(new LogRecord.LeaseRelease("r", FIRST, 1));
        assertThat(state.lease("r")).isPresent();
        now = now.plusSeconds(10);
        assertThat(requestLease(SECOND).granted()).isTrue();
        apply(new LogRecord.LeaseRelease("r", SECOND, 5));
        assertThat(state.lease("r")).isEmpty();
    }

    private LeaseDecided requestLease(DaemonId holder) {
        return (LeaseDecided) apply(new LeaseRequest("r", holder, Duration.ofSeconds(10)));
    }

    @Test
    @DisplayName("guards against quarantine by several reports of the same engine loss")
    void countsEachLostIncarnationOnce() {
        apply(loss("1", fingerprint(1)));
        apply(loss("1", fingerprint(1)));
        state.restore(state.snapshot());
        apply(loss("1", fingerprint(1)));
        assertThat(state.isQuarantined(fingerprint(1))).isFalse();

        apply(loss("2", fingerprint(1), fingerprint(2)));
        assertThat(state.isQuarantined(fingerprint(1))).isTrue();
        assertThat(state.isQuarantined(fingerprint(2))).isFalse();

        apply(new LogRecord.QuarantineRelease(List.of(fingerprint(2)), "completed"));
        assertThat(state.suspicion(fingerprint(2))).isEmpty();
        now = now.plus(Duration.ofHours(1));
        apply(new LogRecord.Unknown("newer version"));
        assertThat(state.suspicion(fingerprint(1))).isEmpty();
    }

    @Test
    @DisplayName("guards against undetected state divergence and against false alarms")
    void comparesCheckpointOnlyAtCoveredOffset() {
        apply(joined(FIRST));
        SharedStateSnapshot covered = state.snapshot();
        String digest = SharedState.digest(covered);

        assertThat(applyCheckpoint(covered, digest)).isEqualTo(ApplyResult.Comparison.MATCHES);
        assertThat(applyCheckpoint(covered, digest)).isEqualTo(ApplyResult.Comparison.NOT_COMPARED);
        assertThat(applyCheckpoint(state.snapshot(), digest))
                .isEqualTo(ApplyResult.Comparison.DIFFERS);
        assertThat(state.roster()).hasSize(1);
    }

    private ApplyResult.Comparison applyCheckpoint(SharedStateSnapshot snapshot, String digest) {
        LogRecord record =
                new LogRecord.Checkpoint(SECOND, snapshot.appliedOffset(), digest, snapshot);
        return ((ApplyResult.CheckpointSeen) apply(record)).comparison();
    }
}
