package org.bergamothoist.daemon.caller;

import jakarta.inject.Inject;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.node.Router;
import org.bergamothoist.core.request.ServiceSubmission;
import org.bergamothoist.daemon.http.EndToEndHeaders;
import org.bergamothoist.daemon.http.HeaderNames;
import org.bergamothoist.daemon.settings.Bounds;
import org.bergamothoist.daemon.settings.DaemonSettings;

/** Passes calls on to plain services, with bodies and end-to-end headers unchanged. */
public final class ServiceServlet extends AbstractCallerServlet {

    /** Paths that this servlet serves. */
    public static final String PATTERN = ServicePath.PREFIX + "*";

    private static final long serialVersionUID = 1L;

    private final transient Router router;
    private final transient Bounds bounds;

    @Inject
    ServiceServlet(Router router, DaemonSettings settings) {
        this.router = router;
        this.bounds = settings.bounds();
    }

    @Override
    protected void service(HttpServletRequest request, HttpServletResponse response)
            throws IOException {
        serve(
                request,
                response,
                bounds.body(),
                (connection, headers, body) -> call(request, connection, headers, body));
    }

    private void call(
            HttpServletRequest request,
            CallerConnection connection,
            CallerHeaders headers,
            byte[] body) {
        ServicePath path = ServicePath.parse(request.getRequestURI(), request.getQueryString());
        ServiceSubmission submission =
                new ServiceSubmission(
                        headers.key(),
                        headers.requestId(),
                        path.service(),
                        request.getMethod(),
                        path.pathAndQuery(),
                        forwarded(request),
                        body,
                        headers.priority(),
                        headers.deadline(),
                        headers.idempotent());
        ServiceAnswer answer = new ServiceAnswer(connection);
        answer.attach(router.callService(submission, answer), submission.idempotent());
    }

    private static Map<String, List<String>> forwarded(HttpServletRequest request) {
        Map<String, List<String>> headers = new LinkedHashMap<>();
        for (String name : Collections.list(request.getHeaderNames())) {
            headers.put(name, Collections.list(request.getHeaders(name)));
        }
        Map<String, List<String>> forwarded = EndToEndHeaders.of(headers);
        forwarded
                .keySet()
                .removeIf(
                        name ->
                                HeaderNames.AUTHORIZATION.equalsIgnoreCase(name)
                                        || HeaderNames.CONTENT_LENGTH.equalsIgnoreCase(name));
        return forwarded;
    }
}
