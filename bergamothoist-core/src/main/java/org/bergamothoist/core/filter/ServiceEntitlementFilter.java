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

/** Checks that the sheet allows the organisation the service and path. */
public final class ServiceEntitlementFilter implements RequestFilter<ServiceExchange> {

    @Override
    public void apply(ServiceExchange exchange, Runnable proceed) {
        ServiceSubmission submission = exchange.submission();
        if (!hasPlainPath(submission.pathAndQuery())) {
            exchange.finish(
                    Outcome.notRun(
                            ErrorCode.INVALID_REQUEST, "the path has dot or encoded segments"));
            return;
        }
        Optional<ServiceEntitlement> entitlement =
                exchange.organisation().entry().services().stream()
                        .filter(allowed -> allowed.service().equals(submission.service()))
                        .filter(allowed -> covers(allowed.pathPrefix(), submission.pathAndQuery()))
                        .max(Comparator.comparingInt(allowed -> allowed.pathPrefix().length()));
        if (entitlement.isEmpty()) {
            exchange.finish(
                    Outcome.notRun(
                            ErrorCode.NOT_ENTITLED,
                            "the sheet does not allow "
                                    + exchange.organisationId()
                                    + " this service and path"));
            return;
        }
        if (entitlement.get().nonIdempotent()) {
            exchange.markNonIdempotent();
        }
        proceed.run();
    }

    /** A target could resolve such segments to a path that the sheet does not allow. */
    private static boolean hasPlainPath(String pathAndQuery) {
        String path = pathOf(pathAndQuery).toLowerCase(Locale.ROOT);
        return !path.contains("/.")
                && !path.contains("//")
                && !path.contains("%2f")
                && !path.contains("%2e")
                && !path.contains("\\");
    }

    /** Returns whether the prefix ends at a segment boundary of the path. */
    private static boolean covers(String prefix, String pathAndQuery) {
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
