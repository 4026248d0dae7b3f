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

/** Step definitions that apply submitted sheets to a {@link SharedState}. */
public class TwoOfficesSteps {

    private final SharedState state = new SharedState();
    private final List<SheetVerdict> verdicts = new ArrayList<>();
    private SheetSubmission lastSubmission;
    private long firstVersion;

    /** Submits the first sheet of an organisation. */
    @Given("office {string} has submitted {string} with weight {int}")
    public void hasSubmitted(String office, String organisation, int weight) {
        submit(office, organisation, weight, 0);
        firstVersion = version(organisation);
    }

    /** Submits a sheet that is based on the current version of the organisation. */
    @When("office {string} submits {string} with weight {int}, based on the current version")
    public void submitsBasedOnCurrentVersion(String office, String organisation, int weight) {
        submit(office, organisation, weight, version(organisation));
    }

    /** Submits a sheet that is based on the first version, or on none if there is no version. */
    @When("office {string} submits {string} with weight {int}, based on the first version")
    public void submitsBasedOnFirstVersion(String office, String organisation, int weight) {
        boolean exists = state.organisation(new OrganisationId(organisation)).isPresent();
        submit(office, organisation, weight, exists ? firstVersion : 0);
    }

    /** Submits the last sheet once more. */
    @When("office {string} submits the same sheet again")
    public void submitsAgain(String office) {
        assertThat(lastSubmission.office()).isEqualTo(office);
        append(lastSubmission);
    }

    /** Checks that the last sheet was refused because of a change by another office. */
    @Then("the sheet of office {string} is refused because office {string} changed {string}")
    public void isRefused(String office, String changedBy, String organisation) {
        SheetVerdict verdict = lastVerdict();
        assertThat(verdict.office()).isEqualTo(office);
        assertThat(verdict.accepted()).isFalse();
        assertThat(verdict.conflicts())
                .containsExactly(
                        new SheetVerdict.Conflict(
                                new OrganisationId(organisation),
                                firstVersion,
                                version(organisation),
                                changedBy));
    }

    /** Checks that the last sheet was accepted. */
    @Then("the sheet of office {string} is accepted")
    public void isAccepted(String office) {
        assertThat(lastVerdict().office()).isEqualTo(office);
        assertThat(lastVerdict().accepted()).isTrue();
    }

    /** Checks that the last submission was detected as a duplicate of the one before. */
    @Then("the second submission is a duplicate of the first")
    public void isDuplicate() {
        SheetVerdict previous = verdicts.get(verdicts.size() - 2);
        assertThat(lastVerdict().firstOffset()).isEqualTo(previous.offset());
        assertThat(lastVerdict().offset()).isGreaterThan(previous.offset());
    }

    /** Checks the weight in force. */
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

    private SheetVerdict lastVerdict() {
        return verdicts.get(verdicts.size() - 1);
    }

    private long version(String organisation) {
        return state.organisation(new OrganisationId(organisation)).orElseThrow().version();
    }
}
