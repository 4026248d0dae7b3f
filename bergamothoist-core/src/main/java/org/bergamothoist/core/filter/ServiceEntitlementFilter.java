package org.bergamothoist.core.filter;

import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.RequestFilter;
import org.bergamothoist.core.request.ServiceExchange;
import org.bergamothoist.core.request.ServiceSubmission;
import org.bergamothoist.core.sheet.ServiceEntitlement;

/** Checks that the organisation is entitled to call the service under the requested path. */
public final class ServiceEntitlementFilter implements RequestFilter<ServiceExchange> {

    @Override
    public void apply(ServiceExchange exchange, Runnable proceed) {
        ServiceSubmission submission = exchange.submission();
        if (!isUnambiguousPath(submission.pathAndQuery())) {
            exchange.finish(
                    Outcome.notRun(
                            ErrorCode.INVALID_REQUEST,
                            "the path has dot segments, empty segments or encoded separators"));
            return;
        }
        Optional<ServiceEntitlement> entitlement =
                exchange.organisation().entry().services().stream()
                        .filter(candidate -> candidate.service().equals(submission.service()))
                        .filter(
                                candidate ->
                                        matchesPrefix(
                                                candidate.pathPrefix(), submission.pathAndQuery()))
                        .max(Comparator.comparingInt(candidate -> candidate.pathPrefix().length()));
        if (entitlement.isEmpty()) {
            exchange.finish(
                    Outcome.notRun(
                            ErrorCode.NOT_ENTITLED,
                            "organisation "
                                    + exchange.organisationId()
                                    + " is not entitled to this service and path"));
            return;
        }
        if (entitlement.get().nonIdempotent()) {
            exchange.markNonIdempotent();
        }
        proceed.run();
    }

    /**
     * Returns whether a target resolves the path as this filter does. Otherwise a request could
     * reach a path without an entitlement.
     */
    private static boolean isUnambiguousPath(String pathAndQuery) {
        String path = pathOf(pathAndQuery).toLowerCase(Locale.ROOT);
        return !path.contains("/.")
                && !path.contains("//")
                && !path.contains("%2f")
                && !path.contains("%2e")
                && !path.contains("\\");
    }

    /**
     * Returns whether the path starts with the prefix and the prefix ends at a segment boundary.
     */
    private static boolean matchesPrefix(String prefix, String pathAndQuery) {
        String path = pathOf(pathAndQuery);
        if (!path.startsWith(prefix)) {
            return false;
        }
        return prefix.endsWith("/")
                || path.length() == prefix.length()
                || path.charAt(prefix.length()) == '/';
    }

    private static String pathOf(String pathAndQuery) {
        int query = pathAndQuery.indexOf('?');
        return query < 0 ? pathAndQuery : pathAndQuery.substring(0, query);
    }
}
