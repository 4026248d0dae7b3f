package org.bergamothoist.gateway.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.bergamothoist.gateway.wire.BodyFraming;

/**
 * A connection that carries one request at a time.
 *
 * <p>Bytes that come when no answer is expected belong to no request; the connection is closed.
 */
public final class ClientConnection extends ChannelInboundHandlerAdapter
        implements AnswerDecoder.Connection {

    private static final Pattern TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");

    /** Size of an answer to another request, in bytes, up to which it is skipped. */
    private static final int MAXIMUM_IGNORED_BYTES = 1 << 20;

    /** Number of interim answers to one request; more are taken for a fault. */
    private static final int MAXIMUM_INTERIM_ANSWERS = 16;

    /** Identifiers that a connection remembers, a bound on memory; it carries no more requests. */
    private static final int MAXIMUM_IDENTIFIERS = 512;

    private enum State {
        IDLE,
        BUSY,
        /** The answer is complete, but what was received with it is still being read. */
        SETTLING,
        /** The peer has ended the answer and its bytes; kept until the request is checked. */
        ENDED,
        CLOSED
    }

    private final Destination destination;
    private final long number;
    private final InstantSource clock;
    private final ConnectionPool pool;
    private final AnswerDecoder decoder;
    private Channel channel;
    private State state = State.IDLE;
    private AnswerListener listener;
    private ChannelFuture requestWritten;
    private long bodyBytes;
    private boolean interim;
    private boolean ignoring;
    private int interimAnswers;
    private long ignoredBytes;
    private boolean reusable = true;
    private int requests;
    private String lastRequest = "";
    private boolean broken;

    /** Whether the peer has ended its bytes in order; not so after a reset or an own close. */
    private boolean inputEnded;

    private boolean selfDelimited;
    private boolean endedByClose;
    private Instant usableUntil = Instant.MAX;

    /** Hash codes of the identifiers that were sent on this connection. */
    private final Set<Integer> carriedIdentifiers = new HashSet<>();

    /**
     * Creates a connection that is not open yet.
     *
     * @param destination where the first request goes; later ones go to the same peer
     * @param number number of the connection in its pool, for the log
     */
    ClientConnection(
            Destination destination, long number, ConnectionPool pool, InstantSource clock) {
        this.destination = destination;
        this.number = number;
        this.pool = pool;
        this.decoder = new AnswerDecoder(this);
        this.clock = clock;
    }

    AnswerDecoder decoder() {
        return decoder;
    }

    String address() {
        return destination.address();
    }

    String peer() {
        return destination.peer();
    }

    /** Returns whether neither end has closed the connection, and no request is in progress. */
    boolean isIdle() {
        return state == State.IDLE && channel.isActive();
    }

    boolean isUsable() {
        return isIdle() && clock.instant().isBefore(usableUntil);
    }

    void attach(Channel connected) {
        channel = connected;
        usableUntil = clock.instant().plus(pool.defaultIdleTime());
    }

    /**
     * Sends a request; the body is released.
     *
     * @param match how the answer is told from others; the connection was acquired for it
     */
    public void send(HttpRequest head, ByteBuf body, AnswerMatch match, AnswerListener receiver) {
        listener = receiver;
        requests++;
        lastRequest = match.requestId();
        if (!match.isOnKeptConnection()) {
            reusable = false;
        }
        if (match.isByIdentifier()) {
            carriedIdentifiers.add(match.requestId().hashCode());
        }
        state = State.BUSY;
        interimAnswers = 0;
        ignoredBytes = 0;
        decoder.expect(head.method());
        bodyBytes = body.readableBytes();
        channel.write(head);
        requestWritten = channel.writeAndFlush(new DefaultLastHttpContent(body));
    }

    /**
     * Returns whether the answer to a request could not be taken for that to an earlier one: an
     * identifier names one answer only if it is sent once.
     */
    boolean isUsableFor(AnswerMatch match) {
        boolean repeated =
                match.isByIdentifier()
                        && (carriedIdentifiers.size() >= MAXIMUM_IDENTIFIERS
                                || carriedIdentifiers.contains(match.requestId().hashCode()));
        return isUsable() && !repeated;
    }

    /**
     * Records that the answer in progress names no request. Returns whether it certainly is that to
     * the request in progress: another answer may come late or twice, but not before the first
     * request of the connection.
     *
     * @param refusal whether the answer states that its request was not run; a peer that names
     *     requests may leave that out of its refusals
     */
    public boolean acceptUnidentifiedAnswer(int status, boolean refusal) {
        reusable = false;
        if (refusal || !pool.hasNamedRequests(address())) {
            pool.keepNoConnections(address());
        }
        if (requests == 1) {
            return true;
        }
        recordMismatch(AnswerMismatches.Kind.NO_IDENTIFIER, () -> "status=" + status);
        return false;
    }

    /** Records that the answer in progress names its request. */
    public void onIdentifiedAnswer() {
        pool.onRequestNamed(address());
    }

    /** Ends the request in progress without waiting for its answer. */
    public void abort() {
        listener = null;
        close();
    }

    /**
     * Returns whether only the end of the connection says that the last answer was complete. If the
     * peer's process ends within an answer, that looks the same.
     */
    public boolean isAnswerEndedByClose() {
        return endedByClose;
    }

    /**
     * Keeps the connection whose end completed the answer open for {@link #checkUpload}; called
     * while the answer completes.
     */
    public void keepForUploadCheck() {
        if (state == State.SETTLING) {
            state = State.ENDED;
        }
    }

    /**
     * Finds out whether the peer took the whole request, and closes the connection. A request
     * without a body needs no check.
     */
    public void checkUpload(Consumer<UploadCheck.Result> receiver) {
        Consumer<UploadCheck.Result> closing =
                result -> {
                    close();
                    receiver.accept(result);
                };
        if (bodyBytes == 0) {
            closing.accept(UploadCheck.Result.TAKEN);
        } else if (state != State.ENDED || !channel.isActive()) {
            closing.accept(UploadCheck.Result.RESET);
        } else {
            new UploadCheck(channel, this::awaitRoundTrip, closing).start(bodyBytes);
        }
    }

    /** Opens a connection; one that is refused has taken a round trip, too. */
    private void awaitRoundTrip(Consumer<Boolean> onOver) {
        pool.probe(
                address(),
                failure -> onOver.accept(failure == null || ConnectionPool.isRefused(failure)));
    }

    /** Returns whether the answer in progress has a length or chunks, or cannot have a body. */
    public boolean isAnswerSelfDelimited() {
        return selfDelimited;
    }

    /** Stops or resumes reading the answer. */
    public void setReading(boolean reading) {
        if (state != State.CLOSED) {
            channel.config().setAutoRead(reading);
        }
    }

    /** Runs a task once the connection is closed, by whichever end. */
    void onClosed(Runnable task) {
        channel.closeFuture().addListener(closed -> task.run());
    }

    void close() {
        if (state != State.CLOSED) {
            state = State.CLOSED;
            channel.close();
        }
    }

    @Override
    public boolean isAnswerExpected() {
        return state == State.BUSY;
    }

    @Override
    public void onFoldedLine() {
        fail(AnswerListener.Failure.INVALID_ANSWER, "a folded line in the head");
    }

    @Override
    public void onInputEnded() {
        inputEnded = true;
    }

    @Override
    public void onUnexpectedBytes(int count) {
        if (state == State.CLOSED) {
            return;
        }
        State before = state;
        recordMismatch(
                AnswerMismatches.Kind.BYTES_BEHIND_ANSWER,
                () -> "bytes=" + count + " state=" + before);
        close();
    }

    /** Records that a whole answer names another request than the one in progress. */
    public void onOtherRequestAnswered(String answeredRequest, int status) {
        recordMismatch(
                AnswerMismatches.Kind.OTHER_REQUEST,
                () -> "answered=" + answeredRequest + " status=" + status);
    }

    private void recordMismatch(AnswerMismatches.Kind kind, Supplier<String> details) {
        pool.onMismatch(
                kind,
                new AnswerMismatches.Origin(address(), peer(), number, requests, lastRequest),
                details);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (state != State.BUSY) {
                // The decoder has passed on what it had decoded when the answer ended early.
                close();
                return;
            }
            if (message instanceof HttpResponse head) {
                onHead(head);
            }
            if (state == State.BUSY && message instanceof HttpContent content) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(HttpResponse head) {
        if (head.decoderResult().isFailure()) {
            fail(AnswerListener.Failure.INVALID_ANSWER, "" + head.decoderResult().cause());
            return;
        }
        if (JoinedHeads.isJoined(head)) {
            recordMismatch(
                    AnswerMismatches.Kind.JOINED_HEADS, () -> "status=" + head.status().code());
            fail(AnswerListener.Failure.INVALID_ANSWER, "a second status line in the head");
            return;
        }
        interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (interim) {
            interimAnswers++;
            if (interimAnswers > MAXIMUM_INTERIM_ANSWERS) {
                fail(AnswerListener.Failure.INVALID_ANSWER, "interim answers without end");
            }
            return;
        }
        selfDelimited = BodyFraming.isSelfDelimited(head);
        if (!HttpUtil.isKeepAlive(head) || !selfDelimited) {
            reusable = false;
        }
        noteIdleTimeout(head);
        ignoring = !listener.onHead(head);
        if (ignoring) {
            reusable = false;
        }
    }

    private void noteIdleTimeout(HttpResponse head) {
        String value = head.headers().get("Keep-Alive", "");
        Matcher matcher = TIMEOUT.matcher(value);
        Duration idle = pool.defaultIdleTime();
        if (matcher.find()) {
            Duration stated = Duration.ofSeconds(Long.parseLong(matcher.group(1)));
            idle = stated.minus(pool.idleMargin());
        }
        usableUntil = clock.instant().plus(idle);
    }

    private void onContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            fail(AnswerListener.Failure.INVALID_ANSWER, "" + content.decoderResult().cause());
            return;
        }
        boolean relayed = !interim && !ignoring;
        if (ignoring) {
            ignoredBytes += content.content().readableBytes();
            if (ignoredBytes > MAXIMUM_IGNORED_BYTES) {
                fail(
                        AnswerListener.Failure.INVALID_ANSWER,
                        "answer to another request without end");
                return;
            }
        }
        if (relayed && content.content().isReadable()) {
            listener.onContent(content.content());
        }
        if (!(content instanceof LastHttpContent last) || state != State.BUSY) {
            return;
        }
        if (JoinedHeads.isJoined(last.trailingHeaders())) {
            recordMismatch(AnswerMismatches.Kind.JOINED_HEADS, () -> "in the trailers");
            fail(AnswerListener.Failure.INVALID_ANSWER, "a status line in the trailers");
            return;
        }
        // The decoder takes every end of the channel for that of a body without a length.
        boolean endedOtherwise = !selfDelimited && !inputEnded && !channel.isActive();
        if (broken || endedOtherwise) {
            fail(AnswerListener.Failure.CONNECTION_LOST, "connection reset or closed here");
            return;
        }
        if (!selfDelimited && !requestWritten.isSuccess()) {
            fail(
                    AnswerListener.Failure.CONNECTION_LOST,
                    "connection ended before the request was written");
            return;
        }
        if (!relayed) {
            interim = false;
            ignoring = false;
            return;
        }
        endedByClose = !selfDelimited && inputEnded;
        state = State.SETTLING;
        pool.onAnswered(address());
        AnswerListener completed = listener;
        listener = null;
        completed.onComplete();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (state == State.SETTLING) {
            settle();
        }
        context.fireChannelReadComplete();
    }

    private void settle() {
        if (!reusable || !requestWritten.isSuccess()) {
            close();
            return;
        }
        state = State.IDLE;
        channel.config().setAutoRead(true);
        pool.release(this);
    }

    private void fail(AnswerListener.Failure failure, String detail) {
        AnswerListener failed = listener;
        listener = null;
        close();
        if (failed != null) {
            failed.onFailure(failure, detail);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        broken = true;
        fail(AnswerListener.Failure.CONNECTION_LOST, "" + cause);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            if (state == State.BUSY) {
                fail(AnswerListener.Failure.CONNECTION_LOST, "connection closed");
            }
            if (state != State.ENDED) {
                close();
            }
        }
        context.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (state == State.BUSY) {
            fail(AnswerListener.Failure.CONNECTION_LOST, "connection closed");
        }
        state = State.CLOSED;
        pool.forget(this);
    }
}
