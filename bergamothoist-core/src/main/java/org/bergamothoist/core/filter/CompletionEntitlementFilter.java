package org.bergamothoist.core.filter;

import java.util.Comparator;
import java.util.Optional;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.prompt.BlockHasher;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.quarantine.FingerprintCalculator;
import org.bergamothoist.core.request.CompletionExchange;
import org.bergamothoist.core.request.CompletionSubmission;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.RequestFilter;
import org.bergamothoist.core.sheet.ModelEntitlement;

/**
 * Checks that the organisation is entitled to the model, resolves the model version, and computes
 * the prompt's block hashes and fingerprint.
 */
public final class CompletionEntitlementFilter implements RequestFilter<CompletionExchange> {

    private final BlockHasher hasher;

    /** Creates a filter. */
    public CompletionEntitlementFilter(BlockHasher hasher) {
        this.hasher = hasher;
    }

    @Override
    public void apply(CompletionExchange exchange, Runnable proceed) {
        Optional<ModelEntitlement> entitlement = findEntitlement(exchange);
        if (entitlement.isEmpty()) {
            exchange.finish(
                    Outcome.notRun(
                            ErrorCode.NOT_ENTITLED,
                            "organisation "
                                    + exchange.organisationId()
                                    + " is not entitled to this model, adapter and version"));
            return;
        }
        if (entitlement.get().nonIdempotent()) {
            exchange.markNonIdempotent();
        }
        ModelKey key = entitlement.get().key();
        Fingerprint fingerprint =
                FingerprintCalculator.ofPrompt(
                        exchange.organisationId(), key, exchange.submission().prompt().bytes());
        exchange.resolveTo(
                key,
                hasher.hashChain(exchange.organisationId(), key, exchange.submission().prompt()),
                fingerprint);
        if (resumesOtherRequest(exchange)) {
            exchange.finish(
                    new Outcome.Unknown(
                            ErrorCode.INVALID_RESUME_TOKEN,
                            "the resume token was issued for another organisation or request"));
            return;
        }
        proceed.run();
    }

    private static boolean resumesOtherRequest(CompletionExchange exchange) {
        return exchange.resumePoint()
                .map(
                        point ->
                                !point.token().organisation().equals(exchange.organisationId())
                                        || !point.token().requestId().equals(exchange.id())
                                        || !point.token()
                                                .fingerprint()
                                                .equals(exchange.fingerprint()))
                .orElse(false);
    }

    private static Optional<ModelEntitlement> findEntitlement(CompletionExchange exchange) {
        CompletionSubmission submission = exchange.submission();
        Optional<String> version =
                exchange.resumePoint()
                        .map(point -> point.token().modelKey().version())
                        .or(submission::version);
        return exchange.organisation().entry().models().stream()
                .filter(entitlement -> entitlement.key().model().equals(submission.model()))
                .filter(entitlement -> entitlement.key().adapter().equals(submission.adapter()))
                .filter(
                        entitlement ->
                                version.map(entitlement.key().version()::equals).orElse(true))
                .max(
                        Comparator.comparing(
                                entitlement -> entitlement.key().version(),
                                CompletionEntitlementFilter::compareVersions));
    }

    /** Compares versions by length, then alphabetically, so that "v10" is newer than "v9". */
    private static int compareVersions(String left, String right) {
        int byLength = Integer.compare(left.length(), right.length());
        return byLength != 0 ? byLength : left.compareTo(right);
    }
}
