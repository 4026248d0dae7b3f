package org.bergamothoist.core.sheet;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.log.ApplyResult.SheetDecided;
import org.bergamothoist.core.log.LogRecord.SheetSubmission;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.core.quarantine.FingerprintCalculator;

/** Steps over the fold of the log. */
public class TwoOfficesSteps {

    private final SharedState state = new SharedState();
    private final List<SheetVerdict> verdicts = new ArrayList<>();
    private SheetSubmission lastSubmission;
    private long firstVersion;

    /** Records the first sheet. */
    @Given("office {string} has submitted {string} with weight {int}")
    public void hasSubmitted(String office, String organisation, int weight) {
        submit(office, organisation, weight, 0);
        firstVersion = version(organisation);
    }

    /** Submits a sheet that knows all earlier changes. */
    @When("office {string} submits {string} with weight {int}, made from the current version")
    public void submitsFromCurrent(String office, String organisation, int weight) {
        submit(office, organisation, weight, version(organisation));
    }

    /** Submits a sheet that knows the first state only. */
    @When("office {string} submits {string} with weight {int}, made from the first version")
    public void submitsFromFirst(String office, String organisation, int weight) {
        boolean known = state.organisation(new OrganisationId(organisation)).isPresent();
        submit(office, organisation, weight, known ? firstVersion : 0);
    }

    /** Appends the last submission once more. */
    @When("office {string} sends the same sheet again")
    public void sendsAgain(String office) {
        assertThat(lastSubmission.office()).isEqualTo(office);
        append(lastSubmission);
    }

    /** Checks a refusal. */
    @Then("the sheet of office {string} is refused because office {string} changed {string}")
    public void isRefused(String office, String other, String organisation) {
        SheetVerdict verdict = last();
        assertThat(verdict.office()).isEqualTo(office);
        assertThat(verdict.accepted()).isFalse();
        assertThat(verdict.conflicts())
                .containsExactly(
                        new SheetVerdict.Conflict(
                                new OrganisationId(organisation),
                                firstVersion,
                                version(organisation),
                                other));
    }

    /** Checks an acceptance. */
    @Then("the sheet of office {string} is accepted")
    public void isAccepted(String office) {
        assertThat(last().office()).isEqualTo(office);
        assertThat(last().accepted()).isTrue();
    }

    /** Checks that a repeat was recognised. */
    @Then("both sendings have the same first record")
    public void sameFirstRecord() {
        SheetVerdict before = verdicts.get(verdicts.size() - 2);
        assertThat(last().firstOffset()).isEqualTo(before.offset());
        assertThat(last().offset()).isGreaterThan(before.offset());
    }

    /** Checks the content in force. */
    @Then("{string} has weight {int}")
    public void hasWeight(String organisation, int weight) {
        assertThat(
                        state.organisation(new OrganisationId(organisation))
                                .orElseThrow()
                                .entry()
                                .limits()
                                .weight())
                .isEqualTo(weight);
    }

    private void submit(String office, String organisation, int weight, long baseVersion) {
        OrganisationEntry entry =
                new OrganisationEntry(
                        new OrganisationId(organisation),
                        baseVersion,
                        FingerprintCalculator.keyDigest(organisation),
                        List.of(),
                        List.of(),
                        new OrganisationLimits(10, 10, weight));
        List<OrganisationEntry> entries = List.of(entry);
        append(new SheetSubmission(SheetDigest.of(entries), office, "operator", entries));
    }

    private void append(SheetSubmission submission) {
        lastSubmission = submission;
        long offset = state.appliedOffset() + 1;
        LogEntry entry = new LogEntry(offset, Instant.EPOCH.plusSeconds(offset), submission);
        verdicts.add(((SheetDecided) state.apply(entry)).verdict());
    }

    private SheetVerdict last() {
        return verdicts.get(verdicts.size() - 1);
    }

    private long version(String organisation) {
        return state.organisation(new OrganisationId(organisation)).orElseThrow().version();
    }
}
