package org.bergamothoist.daemon.operator;

import jakarta.inject.Inject;
import jakarta.ws.rs.container.ContainerRequestContext;
import jakarta.ws.rs.container.ContainerRequestFilter;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.util.Optional;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.daemon.caller.OutcomeAnswer;
import org.bergamothoist.daemon.http.ErrorView;
import org.bergamothoist.daemon.settings.OperatorKey;

/** Lets only operators with a known key use the operators' interface. */
@OperatorsOnly
public final class OperatorFilter implements ContainerRequestFilter {

    /** Request property that holds the {@link OperatorKey}. */
    static final String OPERATOR = "org.bergamothoist.operator";

    private final OperatorKeys keys;

    @Inject
    OperatorFilter(OperatorKeys keys) {
        this.keys = keys;
    }

    @Override
    public void filter(ContainerRequestContext request) {
        Optional<OperatorKey> operator = keys.find(request.getHeaderString("Authorization"));
        if (operator.isPresent()) {
            request.setProperty(OPERATOR, operator.get());
            return;
        }
        ErrorCode code = ErrorCode.UNAUTHENTICATED;
        request.abortWith(
                Response.status(OutcomeAnswer.status(code))
                        .type(MediaType.APPLICATION_JSON)
                        .entity(new ErrorView(code, "operator key is missing or unknown"))
                        .build());
    }
}
