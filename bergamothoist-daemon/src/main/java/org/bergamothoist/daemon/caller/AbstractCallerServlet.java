package org.bergamothoist.daemon.caller;

import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.request.Outcome;

/** Reads a caller's request without blocking and hands it to the router. */
abstract class AbstractCallerServlet extends HttpServlet {

    private static final long serialVersionUID = 1L;
    private static final Logger LOGGER = LogManager.getLogger(AbstractCallerServlet.class);

    /**
     * Returns the outcome of a request that is refused before the router sees it.
     *
     * @param request the request, which may go on with one that has run before
     */
    protected Outcome refusal(HttpServletRequest request, ErrorCode code, String message) {
        return Outcome.notRun(code, message);
    }

    /** Reads the body within the bound, then submits. */
    protected final void serve(
            HttpServletRequest request,
            HttpServletResponse response,
            int bound,
            Submitter submitter)
            throws IOException {
        CallerConnection connection = new CallerConnection(request, response);
        BodyReader.read(
                request.getInputStream(),
                bound,
                new BodyReader.Handler() {
                    @Override
                    public void onBody(byte[] body) {
                        submit(request, connection, body, submitter);
                    }

                    @Override
                    public void onTooLarge(int size) {
                        String message = "body is larger than " + size + " bytes";
                        OutcomeAnswer.send(
                                connection,
                                Optional.empty(),
                                refusal(request, ErrorCode.TOO_LARGE, message));
                    }

                    @Override
                    public void onFailure() {
                        connection.abort();
                    }
                });
    }

    private void submit(
            HttpServletRequest request,
            CallerConnection connection,
            byte[] body,
            Submitter submitter) {
        Optional<RequestId> requestId = Optional.empty();
        try {
            CallerHeaders headers = CallerHeaders.of(request);
            requestId = headers.requestId();
            submitter.submit(connection, headers, body);
        } catch (InvalidRequestException exception) {
            OutcomeAnswer.send(
                    connection,
                    requestId,
                    refusal(request, exception.code(), exception.getMessage()));
        } catch (RuntimeException exception) {
            LOGGER.error("request failed inside the daemon", exception);
            OutcomeAnswer.send(connection, requestId, internal(exception));
        }
    }

    /** Returns an outcome that rules nothing out, since the request may have been sent. */
    private static Outcome internal(RuntimeException exception) {
        ErrorCode code =
                exception instanceof BergamothoistException known
                        ? known.code()
                        : ErrorCode.INTERNAL;
        return new Outcome.Unknown(code, "request failed inside the daemon");
    }

    /** Hands a request to the router. */
    @FunctionalInterface
    protected interface Submitter {

        /** Submits; fails with {@link InvalidRequestException} if the request is malformed. */
        void submit(CallerConnection connection, CallerHeaders headers, byte[] body);
    }
}
