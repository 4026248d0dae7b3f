package org.bergamothoist.gateway.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.gateway.GatewayException;
import org.bergamothoist.gateway.buffer.HeldBytes;

/** Makes calls with small bodies. Stages complete on the event loop. */
public final class HttpCaller {

    /** Size of an answer's body, in bytes: above the largest page that the store sends. */
    private static final int MOST_BODY_BYTES = 4 << 20;

    private final ConnectionPool pool;
    private final EventLoop eventLoop;
    private final HeldBytes heldBytes;

    /** Creates a caller. */
    public HttpCaller(ConnectionPool pool, EventLoop eventLoop, HeldBytes heldBytes) {
        this.pool = pool;
        this.eventLoop = eventLoop;
        this.heldBytes = heldBytes;
    }

    /**
     * A call.
     *
     * @param body empty for none
     * @param timeout time for the whole call
     * @param match how its answer is told from others
     */
    public record Call(
            HttpMethod method,
            String address,
            String target,
            Map<String, String> headers,
            byte[] body,
            Duration timeout,
            AnswerMatch match) {

        /** Creates a call on a connection of its own, which is closed after the answer. */
        public Call(
                HttpMethod method,
                String address,
                String target,
                Map<String, String> headers,
                byte[] body,
                Duration timeout) {
            this(method, address, target, headers, body, timeout, AnswerMatch.byConnection());
        }

        /** Creates a call without headers and body on a connection of its own. */
        public static Call get(String address, String target, Duration timeout) {
            return new Call(HttpMethod.GET, address, target, Map.of(), new byte[0], timeout);
        }
    }

    /**
     * Makes a call; fails with {@link CallException} if no complete answer comes in time. A failed
     * call may have taken effect.
     */
    public CompletionStage<HttpAnswer> call(Call call) {
        return call(call, call.timeout());
    }

    /**
     * Makes a call whose answer is read by a function. If that throws, the stage fails and the
     * connection is closed: if one answer on it is stale, so may be the next one.
     */
    public <T> CompletionStage<T> call(Call call, Function<HttpAnswer, T> reader) {
        Pending pending = start(call, call.timeout());
        // Runs before the connection is kept, since that follows the completion of the answer.
        return pending.answer
                .thenApply(reader)
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null) {
                                pending.closeConnection();
                            }
                        });
    }

    /**
     * Makes a call like {@link #call(Call)}, unless its connection opens too late.
     *
     * @param sendWithin time from now after which the call is no longer sent, because the right to
     *     make it may have ended
     */
    public CompletionStage<HttpAnswer> call(Call call, Duration sendWithin) {
        return start(call, sendWithin).answer;
    }

    private Pending start(Call call, Duration sendWithin) {
        Pending pending = new Pending(call, sendWithin);
        pool.acquire(
                new Destination(call.address(), call.address(), call.match()), pending::connected);
        return pending;
    }

    /** A call that was not answered. */
    public static final class CallException extends GatewayException {

        public CallException(String message) {
            super(ErrorCode.PLATFORM_UNAVAILABLE, message);
        }
    }

    private final class Pending implements AnswerListener {

        private final Call call;
        private final HeldBytes.Account account;
        private final Instant sendBefore;
        private final CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final io.netty.util.concurrent.Future<?> timer;
        private ClientConnection connection;
        private int status;
        private HttpHeaders headers;

        private Pending(Call call, Duration sendWithin) {
            this.call = call;
            this.account =
                    heldBytes.open(
                            call.address() + call.target(),
                            () -> {
                                connection.abort();
                                fail("no memory for the answer");
                            });
            // System.nanoTime does not include the time in which the machine was suspended.
            this.sendBefore = pool.clock().instant().plus(sendWithin);
            this.timer =
                    eventLoop.schedule(
                            this::timeOut, call.timeout().toMillis(), TimeUnit.MILLISECONDS);
        }

        private void timeOut() {
            closeConnection();
            fail("no answer within " + call.timeout().toMillis() + " ms");
        }

        private void closeConnection() {
            if (connection != null) {
                connection.abort();
            }
        }

        private void connected(ClientConnection opened, Throwable failure) {
            if (opened == null) {
                fail("not connected: " + failure);
                return;
            }
            connection = opened;
            if (pool.clock().instant().isAfter(sendBefore)) {
                fail("not sent: the connection opened too late");
            }
            if (answer.isDone()) {
                opened.abort();
                return;
            }
            HttpRequest head =
                    new DefaultHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.target());
            head.headers().set(HttpHeaderNames.HOST, call.address());
            call.headers().forEach(head.headers()::set);
            if (!call.match().isOnKeptConnection()) {
                head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            boolean bodyless = call.body().length == 0 && HttpMethod.GET.equals(call.method());
            if (!bodyless) {
                head.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
            }
            opened.send(head, Unpooled.wrappedBuffer(call.body()), call.match(), this);
        }

        @Override
        public boolean onHead(HttpResponse head) {
            status = head.status().code();
            headers = head.headers();
            return true;
        }

        @Override
        public void onContent(ByteBuf content) {
            int size = body.size() + content.readableBytes();
            if (size > MOST_BODY_BYTES || !account.update(size)) {
                connection.abort();
                fail("answer larger than " + MOST_BODY_BYTES + " bytes, or no memory for it");
                return;
            }
            try {
                content.readBytes(body, content.readableBytes());
            } catch (IOException exception) {
                throw new UncheckedIOException(exception);
            }
        }

        @Override
        public void onComplete() {
            timer.cancel(false);
            account.release();
            answer.complete(new HttpAnswer(status, headers, body.toByteArray()));
        }

        @Override
        public void onFailure(Failure failure, String detail) {
            fail(failure + ": " + detail);
        }

        private void fail(String detail) {
            timer.cancel(false);
            account.release();
            answer.completeExceptionally(
                    new CallException(
                            call.method() + " " + call.address() + call.target() + ": " + detail));
        }
    }
}
