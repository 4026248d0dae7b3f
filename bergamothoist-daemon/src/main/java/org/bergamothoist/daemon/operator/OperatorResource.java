package org.bergamothoist.daemon.operator;

import jakarta.inject.Inject;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.QueryParam;
import jakarta.ws.rs.container.ContainerRequestContext;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.apache.hc.core5.http.HttpStatus;
import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.node.NodeStatus;
import org.bergamothoist.core.node.Router;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.sheet.OrganisationState;
import org.bergamothoist.core.sheet.SheetStatus;
import org.bergamothoist.core.timeline.Event;
import org.bergamothoist.core.timeline.Timestamp;
import org.bergamothoist.daemon.http.ErrorView;
import org.bergamothoist.daemon.settings.OperatorKey;

/** Serves operators; {@link OperatorFilter} has checked their key. */
@OperatorsOnly
@Path("/operator")
@Produces(MediaType.APPLICATION_JSON)
public final class OperatorResource {

    private static final String CSV = "text/csv";

    /** Largest sheet, in bytes: 6,100 organisations with some rows each. */
    private static final int MAXIMUM_SHEET_BYTES = 8 * 1024 * 1024;

    private final Router router;
    private final SheetParser parser;
    private final SheetPrinter printer;

    @Inject
    OperatorResource(Router router, SheetParser parser, SheetPrinter printer) {
        this.router = router;
        this.parser = parser;
        this.printer = printer;
    }

    /**
     * Submits a sheet in the name of the operator and office that the key belongs to: 200 in force,
     * 202 recorded and not yet in force everywhere, 409 refused, 400 with all faults.
     */
    @POST
    @Path("/sheets")
    @Consumes({CSV, MediaType.TEXT_PLAIN})
    public CompletionStage<Response> submit(
            @Context ContainerRequestContext request, InputStream body) throws IOException {
        OperatorKey operator = operator(request);
        String csv = new String(bounded(body), StandardCharsets.UTF_8);
        return router.submitSheet(operator.office(), operator.name(), parser.parse(csv))
                .thenApply(status -> Response.status(httpStatus(status)).entity(status).build());
    }

    /** Returns verdict and reach of a submitted sheet. */
    @GET
    @Path("/sheets/{digest}")
    public CompletionStage<Response> sheet(@PathParam("digest") String digest) {
        return router.sheetStatus(digest)
                .thenApply(
                        found ->
                                found.map(status -> Response.ok(status).build())
                                        .orElseGet(
                                                () ->
                                                        Response.status(HttpStatus.SC_NOT_FOUND)
                                                                .build()));
    }

    /** Returns all organisations as JSON. */
    @GET
    @Path("/sheets/current")
    public CompletionStage<List<OrganisationState>> current() {
        return router.organisations();
    }

    /** Returns all organisations as CSV that can be edited and submitted. */
    @GET
    @Path("/sheets/current")
    @Produces(CSV)
    public CompletionStage<String> currentCsv() {
        return router.organisations().thenApply(printer::print);
    }

    /** Returns a summary of the daemon's state. */
    @GET
    @Path("/status")
    public CompletionStage<NodeStatus> status() {
        return router.status();
    }

    /**
     * Returns events of this daemon.
     *
     * @param after stamp in the form {@code milliseconds.counter}, or null for all that are
     *     buffered
     */
    @GET
    @Path("/timeline")
    public List<Event> timeline(@QueryParam("after") String after) {
        return router.timeline(after == null ? new Timestamp(0, 0) : stamp(after));
    }

    /** Ends the quarantine of a fingerprint. */
    @POST
    @Path("/quarantine/release")
    @Consumes(MediaType.APPLICATION_JSON)
    public CompletionStage<Response> release(
            @Context ContainerRequestContext request, Release release) {
        return router.releaseQuarantine(fingerprint(release), operator(request).name())
                .thenApply(done -> Response.status(HttpStatus.SC_NO_CONTENT).build());
    }

    private static int httpStatus(SheetStatus status) {
        return switch (status.reach()) {
            case IN_FORCE -> HttpStatus.SC_OK;
            case RECORDED -> HttpStatus.SC_ACCEPTED;
            case REFUSED -> HttpStatus.SC_CONFLICT;
        };
    }

    private static OperatorKey operator(ContainerRequestContext request) {
        return (OperatorKey) request.getProperty(OperatorFilter.OPERATOR);
    }

    private static byte[] bounded(InputStream body) throws IOException {
        byte[] bytes = body.readNBytes(MAXIMUM_SHEET_BYTES + 1);
        if (bytes.length > MAXIMUM_SHEET_BYTES) {
            throw new BergamothoistException(
                    ErrorCode.TOO_LARGE, "sheet is larger than " + MAXIMUM_SHEET_BYTES + " bytes");
        }
        return bytes;
    }

    private static Timestamp stamp(String text) {
        String[] parts = text.split("\\.", 2);
        try {
            return new Timestamp(
                    Long.parseLong(parts[0]), parts.length == 1 ? 0 : Integer.parseInt(parts[1]));
        } catch (NumberFormatException exception) {
            throw new BergamothoistException(
                    ErrorCode.INVALID_REQUEST, "after must have the form milliseconds.counter");
        }
    }

    private static Fingerprint fingerprint(Release release) {
        try {
            return new Fingerprint(release == null ? null : release.fingerprint());
        } catch (IllegalArgumentException exception) {
            throw new BergamothoistException(
                    ErrorCode.INVALID_REQUEST,
                    "fingerprint must have 64 lower-case hexadecimal digits");
        }
    }

    /** Names the fingerprint to release. */
    public record Release(String fingerprint) {}

    /** The faults of a refused sheet. */
    public record Faults(ErrorCode code, String message, List<SheetFault> faults) {

        /** Returns the view of an exception. */
        static Faults of(SheetFaultsException exception) {
            return new Faults(
                    exception.code(),
                    "sheet has " + exception.faults().size() + " faults",
                    exception.faults());
        }
    }

    /** Returns the JSON form of an exception. */
    static Object view(BergamothoistException exception) {
        return exception instanceof SheetFaultsException faults
                ? Faults.of(faults)
                : new ErrorView(exception.code(), exception.getMessage());
    }
}
