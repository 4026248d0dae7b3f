package org.bergamothoist.daemon.adapter;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.config.TlsConfig;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.client5.http.impl.async.HttpAsyncClientBuilder;
import org.apache.hc.client5.http.impl.async.HttpAsyncClients;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManager;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManagerBuilder;
import org.apache.hc.client5.http.protocol.HttpClientContext;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.nio.AsyncEntityProducer;
import org.apache.hc.core5.http.nio.entity.BasicAsyncEntityProducer;
import org.apache.hc.core5.http.nio.support.BasicRequestProducer;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http2.HttpVersionPolicy;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.Timeout;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bergamothoist.core.platform.PlatformException;

/**
 * The HTTP clients for outside systems. Each call has a connection of its own: only the connection
 * tells to which call an answer belongs, so that on a kept one a repeated answer, or the start of
 * one, would be read as the answer to the next call, and a stale one could swallow a request.
 *
 * <p>This costs a handshake for each call. Control calls are polls, a few each second to each
 * system, and none of them is held open.
 */
public final class OutboundHttp implements AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(OutboundHttp.class);

    /** Bytes that a connection reads ahead of its consumer; bounds the memory of a stream. */
    static final int READ_AHEAD_BYTES = 16 * 1024;

    /** Largest answer that is read, in bytes; see docs/outside-systems.md. */
    static final int MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

    /**
     * Above the streams that a daemon carries at peak (905, section 1.7 of the design) with room
     * for a failed-over share, below the usual limit of open files.
     */
    private static final int MAXIMUM_DISPATCHES = 8192;

    private static final int MAXIMUM_CONTROL_CONNECTIONS = 512;
    private static final int MAXIMUM_CONTROL_CONNECTIONS_PER_ROUTE = 16;
    private static final int DISPATCH_THREADS = 2;

    /** TCP keep-alive finds a dead host behind a silent stream after about 25 seconds. */
    private static final int KEEP_ALIVE_IDLE_SECONDS = 10;

    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 5;
    private static final int KEEP_ALIVE_PROBES = 3;
    private static final Set<String> READS = Set.of("GET", "HEAD");
    private static final String SENDING_HOOK = "org.bergamothoist.sending-hook";
    private static final String USER_AGENT = "User-Agent";
    private static final String PRODUCT = "bergamothoist";
    private static final int LONGEST_MESSAGE = 200;

    private final CloseableHttpAsyncClient dispatches;
    private final CloseableHttpAsyncClient reads;
    private final Duration controlTimeout;
    private volatile boolean closed;

    /**
     * Creates and starts the clients.
     *
     * @param connectTimeout time for a TCP connection
     * @param controlTimeout time for a whole control call
     */
    public OutboundHttp(Duration connectTimeout, Duration controlTimeout) {
        this.controlTimeout = controlTimeout;
        Timeout connect = Timeout.of(connectTimeout);
        dispatches =
                builder(DISPATCH_THREADS, connect, Timeout.DISABLED)
                        .setConnectionManager(
                                connections(connect, MAXIMUM_DISPATCHES, MAXIMUM_DISPATCHES))
                        .addRequestInterceptorLast(
                                (request, entity, context) -> beforeSending(request, context))
                        .build();
        reads =
                builder(1, connect, Timeout.of(controlTimeout))
                        .setConnectionManager(
                                connections(
                                        connect,
                                        MAXIMUM_CONTROL_CONNECTIONS,
                                        MAXIMUM_CONTROL_CONNECTIONS_PER_ROUTE))
                        .build();
        dispatches.start();
        reads.start();
    }

    private HttpAsyncClientBuilder builder(int threads, Timeout connect, Timeout answer) {
        return HttpAsyncClients.custom()
                .setConnectionReuseStrategy((request, response, context) -> false)
                .disableAutomaticRetries()
                .disableRedirectHandling()
                .disableCookieManagement()
                .disableAuthCaching()
                .disableContentCompression()
                .disableConnectionState()
                .setUserAgent(PRODUCT)
                .setIoReactorExceptionCallback(this::reactorFailed)
                .setHttp1Config(Http1Config.custom().setInitialWindowSize(READ_AHEAD_BYTES).build())
                .setIOReactorConfig(
                        IOReactorConfig.custom()
                                .setIoThreadCount(threads)
                                .setTcpNoDelay(true)
                                .setSoKeepAlive(true)
                                .setTcpKeepIdle(KEEP_ALIVE_IDLE_SECONDS)
                                .setTcpKeepInterval(KEEP_ALIVE_INTERVAL_SECONDS)
                                .setTcpKeepCount(KEEP_ALIVE_PROBES)
                                .build())
                .setDefaultRequestConfig(
                        RequestConfig.custom()
                                .setConnectionRequestTimeout(connect)
                                .setResponseTimeout(answer)
                                .setProtocolUpgradeEnabled(false)
                                .setExpectContinueEnabled(false)
                                .build());
    }

    private static PoolingAsyncClientConnectionManager connections(
            Timeout connect, int total, int perRoute) {
        return PoolingAsyncClientConnectionManagerBuilder.create()
                .setMaxConnTotal(total)
                .setMaxConnPerRoute(perRoute)
                .setDefaultTlsConfig(
                        TlsConfig.custom().setVersionPolicy(HttpVersionPolicy.FORCE_HTTP_1).build())
                .setDefaultConnectionConfig(
                        ConnectionConfig.custom().setConnectTimeout(connect).build())
                .build();
    }

    /** Undoes the client's own header, since callers' headers are forwarded unchanged. */
    private static void beforeSending(HttpRequest request, HttpContext context) {
        if (request.containsHeader(USER_AGENT)
                && PRODUCT.equals(request.getFirstHeader(USER_AGENT).getValue())) {
            request.removeHeaders(USER_AGENT);
        }
        if (context.getAttribute(SENDING_HOOK) instanceof Runnable hook) {
            hook.run();
        }
    }

    /**
     * Sends a dispatch. Its {@code sending} runs after the connection is open and before the first
     * byte leaves; an exception from it keeps the request from being sent.
     */
    Future<Void> dispatch(
            HttpRequest request, AsyncEntityProducer entity, AbstractDispatch dispatch) {
        request.setHeader("Connection", "close");
        HttpClientContext context = HttpClientContext.create();
        context.setAttribute(SENDING_HOOK, (Runnable) dispatch::sending);
        return dispatches.execute(
                new BasicRequestProducer(request, entity), dispatch, null, context, dispatch);
    }

    /** Makes a control call and reads its bounded answer; fails with {@link PlatformException}. */
    CompletionStage<Answer> control(HttpRequest request, byte[] body, ContentType type) {
        CompletableFuture<Answer> result = new CompletableFuture<>();
        AsyncEntityProducer entity = body == null ? null : new BasicAsyncEntityProducer(body, type);
        request.setHeader("Connection", "close");
        Future<Answer> call =
                clientFor(request)
                        .execute(
                                new BasicRequestProducer(request, entity),
                                new AnswerConsumer(MAXIMUM_ANSWER_BYTES),
                                null,
                                null,
                                completing(result));
        String name = request.getMethod() + " " + request.getPath();
        return result.orTimeout(controlTimeout.toMillis(), TimeUnit.MILLISECONDS)
                .handle(
                        (answer, failure) -> {
                            if (failure == null) {
                                return answer;
                            }
                            call.cancel(true);
                            throw translate(name, failure);
                        });
    }

    private CloseableHttpAsyncClient clientFor(HttpRequest request) {
        return READS.contains(request.getMethod()) ? reads : dispatches;
    }

    private static FutureCallback<Answer> completing(CompletableFuture<Answer> result) {
        return new FutureCallback<>() {
            @Override
            public void completed(Answer answer) {
                result.complete(answer);
            }

            @Override
            public void failed(Exception exception) {
                result.completeExceptionally(exception);
            }

            @Override
            public void cancelled() {
                result.completeExceptionally(new PlatformException("call was cancelled"));
            }
        };
    }

    private static PlatformException translate(String name, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof AnswerTooLargeException tooLarge) {
            return tooLarge;
        }
        String reason =
                cause instanceof TimeoutException ? "no answer in time" : String.valueOf(cause);
        return new PlatformException(name + " failed: " + reason, cause);
    }

    /**
     * The reactor's threads report channels that close under them, which is expected at the end.
     */
    private void reactorFailed(Exception exception) {
        if (!closed) {
            LOGGER.error("I/O thread of the HTTP client failed", exception);
        }
    }

    @Override
    public void close() {
        closed = true;
        dispatches.close(CloseMode.IMMEDIATE);
        reads.close(CloseMode.IMMEDIATE);
    }

    /** The bounded answer of a control call. */
    record Answer(int status, byte[] body) {

        /** Returns the body as text, shortened for messages. */
        String text() {
            String text = new String(body, StandardCharsets.UTF_8);
            return text.length() <= LONGEST_MESSAGE ? text : text.substring(0, LONGEST_MESSAGE);
        }

        /** Returns this answer if it has the status, and fails otherwise. */
        Answer require(int expected) {
            if (status != expected) {
                throw new PlatformException("answered " + status + ": " + text());
            }
            return this;
        }

        /** Reads the JSON body; a malformed one fails with {@link PlatformException}. */
        <T> T read(Function<JsonNode, T> reader) {
            try {
                return reader.apply(PlatformJson.parse(this));
            } catch (IllegalArgumentException exception) {
                throw new PlatformException(
                        "answer is malformed: " + exception.getMessage(), exception);
            }
        }
    }
}
