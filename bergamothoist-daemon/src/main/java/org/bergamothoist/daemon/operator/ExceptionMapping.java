package org.bergamothoist.daemon.operator;

import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.ext.ExceptionMapper;
import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.daemon.caller.OutcomeAnswer;

/** Answers with code and message of an exception. */
public final class ExceptionMapping implements ExceptionMapper<BergamothoistException> {

    @Override
    public Response toResponse(BergamothoistException exception) {
        return Response.status(OutcomeAnswer.status(exception.code()))
                .type(MediaType.APPLICATION_JSON)
                .entity(OperatorResource.view(exception))
                .build();
    }
}
