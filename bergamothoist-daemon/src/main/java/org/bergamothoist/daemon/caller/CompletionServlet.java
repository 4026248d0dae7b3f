package org.bergamothoist.daemon.caller;

import jakarta.inject.Inject;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.node.Router;
import org.bergamothoist.core.request.CompletionSubmission;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.ResumeSubmission;
import org.bergamothoist.daemon.settings.Bounds;
import org.bergamothoist.daemon.settings.DaemonSettings;

/**
 * Serves completions and their resumption as server-sent events. A servlet, since Jersey would
 * block a thread for each stream.
 */
public final class CompletionServlet extends AbstractCallerServlet {

    /** Path of new completions. */
    public static final String PATH = "/v1/completions";

    /** Path of resumptions. */
    public static final String RESUME_PATH = PATH + "/resume";

    private static final long serialVersionUID = 1L;

    private final transient Router router;
    private final transient Bounds bounds;

    @Inject
    CompletionServlet(Router router, DaemonSettings settings) {
        this.router = router;
        this.bounds = settings.bounds();
    }

    @Override
    protected void doPost(HttpServletRequest request, HttpServletResponse response)
            throws IOException {
        serve(
                request,
                response,
                bounds.completionBody(),
                isResumption(request) ? this::resume : this::complete);
    }

    /** A refused resumption says nothing about the request itself, which was sent before. */
    @Override
    protected Outcome refusal(HttpServletRequest request, ErrorCode code, String message) {
        return isResumption(request)
                ? new Outcome.Unknown(code, message)
                : super.refusal(request, code, message);
    }

    private static boolean isResumption(HttpServletRequest request) {
        return RESUME_PATH.equals(request.getServletPath());
    }

    private void complete(CallerConnection connection, CallerHeaders headers, byte[] body) {
        CompletionSubmission submission =
                CompletionBody.parse(body).submission(headers, bounds.prompt());
        CompletionStream stream = new CompletionStream(connection);
        stream.attach(router.complete(submission, stream), submission.idempotent());
    }

    private void resume(CallerConnection connection, CallerHeaders headers, byte[] body) {
        ResumeSubmission resumption =
                CompletionBody.parse(body).resumption(headers, bounds.prompt());
        CompletionStream stream = new CompletionStream(connection);
        stream.attach(router.resume(resumption, stream), resumption.original().idempotent());
    }
}
