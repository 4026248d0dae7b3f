package org.bergamothoist.daemon.caller;

import jakarta.inject.Inject;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.HeaderParam;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.QueryParam;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.apache.hc.core5.http.HttpStatus;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.membership.DaemonAddresses;
import org.bergamothoist.core.node.Router;
import org.bergamothoist.daemon.http.HeaderNames;

/** Serves address answers and cancellation. */
@Path("/v1")
@Produces(MediaType.APPLICATION_JSON)
public final class CallerResource {

    private final Router router;

    @Inject
    CallerResource(Router router) {
        this.router = router;
    }

    /**
     * Returns the addresses that a caller should use.
     *
     * @param dataCentre the caller's data centre, if known
     * @param affinity text that related requests share, if any
     */
    @GET
    @Path("/addresses")
    public CompletionStage<AddressesView> addresses(
            @QueryParam("data_centre") String dataCentre, @QueryParam("affinity") String affinity) {
        return router.addresses(Optional.ofNullable(dataCentre), Optional.ofNullable(affinity))
                .thenApply(
                        answer ->
                                new AddressesView(
                                        answer.addresses(), answer.lifetime().toMillis()));
    }

    /** Cancels a running request: 204 if it was found, 404 if not. */
    @DELETE
    @Path("/completions/{request}")
    public CompletionStage<Response> cancel(
            @HeaderParam(HeaderNames.AUTHORIZATION) String authorization,
            @PathParam("request") String request) {
        return router.cancel(CallerHeaders.key(authorization), requestId(request))
                .thenApply(
                        found ->
                                Response.status(
                                                found
                                                        ? HttpStatus.SC_NO_CONTENT
                                                        : HttpStatus.SC_NOT_FOUND)
                                        .build());
    }

    private static RequestId requestId(String text) {
        try {
            return RequestId.parse(text);
        } catch (IllegalArgumentException exception) {
            throw new InvalidRequestException("request identifier must be a UUID of version 7");
        }
    }

    /**
     * Addresses, best first.
     *
     * @param lifetimeMs milliseconds for which the caller may keep the answer
     */
    public record AddressesView(List<DaemonAddresses.Address> addresses, long lifetimeMs) {}
}
