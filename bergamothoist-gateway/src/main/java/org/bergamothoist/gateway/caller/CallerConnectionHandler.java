package org.bergamothoist.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.route.CallerLimits;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.wire.BodyFraming;
import org.bergamothoist.gateway.wire.MalformedRequestException;
import org.bergamothoist.gateway.wire.RequestHead;

/** Handles a caller's connection: reads requests and responds to them one after the other. */
final class CallerConnectionHandler extends ChannelInboundHandlerAdapter
        implements CallerResponseWriter {

    /**
     * Messages of pipelined requests above which reading pauses until the current response is
     * complete; limits the memory of a connection.
     */
    private static final int MAXIMUM_PIPELINED_MESSAGES = 256;

    /** The same for the bytes of their bodies. */
    private static final int MAXIMUM_PIPELINED_BYTES = 64 << 10;

    /**
     * Time for which what the caller still sends is read after the last response, before the close:
     * the kernel resets a connection that is closed with unread bytes, and drops the rest of the
     * response.
     */
    private static final Duration LINGER = Duration.ofSeconds(2);

    private static final int BAD_REQUEST = 400;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int URI_TOO_LONG = 414;
    private static final int HEADERS_TOO_LARGE = 431;

    private final ExchangeDependencies dependencies;
    private final CallerServer server;
    private final Deque<HttpObject> pipelinedMessages = new ArrayDeque<>();
    private int pipelinedBytes;

    /** Responses that are complete here, but not yet written to the socket. */
    private int unwrittenResponses;

    private long lastBytesToWrite;

    /** The bytes that were not yet written to the socket when this daemon closed the connection. */
    private long bytesToWriteAtClose;

    /** Why this daemon closes the connection, or the caller has if it does not. */
    private Disconnection disconnection = Disconnection.CALLER_LEFT;

    private Channel channel;
    private Exchange exchange;
    private HttpRequest request;
    private ByteBuf body;
    private boolean receivingRequest;
    private boolean responsePending;
    private boolean closeAfterResponse;

    /** Whether the connection ends once all requests that have been read are answered. */
    private boolean closeWhenIdle;

    /** Whether the connection ends once its responses are written; what still comes is dropped. */
    private boolean ending;

    private boolean outputEnded;
    private Scheduler.Cancellable lingerTimer = () -> {};

    /** Whether only the end of the connection shows that the response in progress is complete. */
    private boolean responseEndsByClose;

    /** Whether the request that is still being received has had its response. */
    private boolean responseSent;

    private Instant requestFirstByteAt;
    private Instant lastActiveAt;

    CallerConnectionHandler(ExchangeDependencies dependencies, CallerServer server) {
        this.dependencies = dependencies;
        this.server = server;
        this.lastActiveAt = dependencies.clock().instant();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channel = context.channel();
        server.add(this);
    }

    /** Returns whether no byte of a further request has come, and the last one is answered. */
    boolean isBetweenRequests() {
        return requestFirstByteAt == null
                && !receivingRequest
                && !responsePending
                && pipelinedMessages.isEmpty();
    }

    /** Records the time of bytes from the caller, before they are decoded. */
    void onBytesReceived() {
        if (ending) {
            return;
        }
        lastActiveAt = dependencies.clock().instant();
        if (requestFirstByteAt == null && !receivingRequest) {
            requestFirstByteAt = lastActiveAt;
        }
    }

    /** Rejects a request that arrives too slowly and closes an idle connection. */
    void enforceTimeouts(CallerLimits limits, Instant now) {
        if (outputEnded) {
            return;
        }
        if (responsePending) {
            lastActiveAt = now;
            return;
        }
        long bytesToWrite = bytesToWrite();
        if (unwrittenResponses > 0 && bytesToWrite != lastBytesToWrite) {
            lastBytesToWrite = bytesToWrite;
            lastActiveAt = now;
        }
        boolean slowHeader =
                requestFirstByteAt != null
                        && now.isAfter(requestFirstByteAt.plus(limits.headerTimeout()));
        boolean idle = now.isAfter(lastActiveAt.plus(limits.idleTimeout()));
        if (slowHeader || idle && receivingRequest) {
            reject(
                    REQUEST_TIMEOUT,
                    "request not received within the header timeout of "
                            + limits.headerTimeout().toMillis()
                            + " ms or the idle timeout of "
                            + limits.idleTimeout().toMillis()
                            + " ms");
        } else if (idle) {
            disconnection = Disconnection.CALLER_IDLE;
            close();
        }
    }

    /** Returns the bytes of responses that wait in this process for the caller to accept them. */
    private long bytesToWrite() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? bytesToWriteAtClose : buffer.totalPendingWriteBytes();
    }

    /** Returns the number of requests that wait for the answer to an earlier one. */
    long pipelinedRequests() {
        return pipelinedMessages.stream().filter(HttpRequest.class::isInstance).count();
    }

    /** Returns whether part of the head of a request has been received. */
    boolean hasPartialHead() {
        return requestFirstByteAt != null;
    }

    /** Closes the connection as soon as no request is in progress. */
    void closeWhenIdle() {
        closeWhenIdle = true;
        if (!isBusy() && requestFirstByteAt == null) {
            endConnection();
        }
    }

    /** Refuses a request whose body is still arriving, if it could not end before the stop. */
    void refuseIfStoppingTooSoon() {
        if (body != null && exchange != null && !exchange.isEnded()) {
            exchange.refuseIfStoppingTooSoon();
        }
    }

    /** Returns whether a request is in progress or waits, or bytes of its response are unsent. */
    boolean isBusy() {
        return responsePending
                || receivingRequest
                || unwrittenResponses > 0
                || !pipelinedMessages.isEmpty();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (ending) {
            ReferenceCountUtil.release(message);
            return;
        }
        HttpObject httpObject = (HttpObject) message;
        if (responsePending && !receivingRequest || !pipelinedMessages.isEmpty()) {
            pipelinedMessages.add(httpObject);
            if (httpObject instanceof HttpContent content) {
                pipelinedBytes += content.content().readableBytes();
            }
            if (pipelinedMessages.size() > MAXIMUM_PIPELINED_MESSAGES
                    || pipelinedBytes > MAXIMUM_PIPELINED_BYTES) {
                channel.config().setAutoRead(false);
            }
            return;
        }
        process(httpObject);
    }

    /** Returns whether a request waits whose head has been read, other than the current one. */
    private boolean hasPipelinedRequest() {
        return pipelinedMessages.stream().anyMatch(HttpRequest.class::isInstance);
    }

    private void process(HttpObject message) {
        try {
            if (message.decoderResult().isFailure()) {
                rejectUndecodable(message.decoderResult().cause());
                return;
            }
            if (message instanceof HttpRequest head) {
                onRequest(head);
            }
            if (message instanceof HttpContent content) {
                onContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void rejectUndecodable(Throwable cause) {
        int status = BAD_REQUEST;
        if (cause instanceof TooLongHttpLineException) {
            status = URI_TOO_LONG;
        } else if (cause instanceof TooLongHttpHeaderException) {
            status = HEADERS_TOO_LARGE;
        }
        reject(status, "" + cause.getMessage());
    }

    private void reject(int status, String reason) {
        dependencies
                .log()
                .write(
                        DecisionKind.CALLER_FAULT,
                        String.valueOf(channel.remoteAddress()),
                        () -> reason,
                        String.valueOf(status));
        if (responseSent) {
            endConnection();
            return;
        }
        if (responsePending) {
            disconnection = Disconnection.CONNECTION_FAULT;
            onDisconnected();
            channel.close();
            return;
        }
        responsePending = true;
        receivingRequest = false;
        closeAfterResponse = true;
        ErrorResponseSender.send(
                this,
                ErrorResponse.of(
                        status,
                        ErrorCode.INVALID_REQUEST,
                        "malformed, oversized or incomplete request"));
    }

    private void onRequest(HttpRequest head) {
        requestFirstByteAt = null;
        request = head;
        exchange = null;
        receivingRequest = true;
        responsePending = true;
        responseSent = false;
        RequestHead requestHead;
        try {
            requestHead = dependencies.dialect().readRequest(head);
        } catch (MalformedRequestException exception) {
            responsePending = false;
            reject(BAD_REQUEST, exception.getMessage());
            return;
        }
        closeAfterResponse = !HttpUtil.isKeepAlive(head);
        RequestContext context =
                new RequestContext(
                        requestHead,
                        dependencies.clock().instant(),
                        new AnswerProgress(this::bytesToWrite));
        exchange = new Exchange(dependencies, context, head.headers(), this);
        if (!exchange.applyFilters()) {
            return;
        }
        if (HttpUtil.is100ContinueExpected(head)) {
            channel.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        body = Unpooled.buffer(0);
    }

    private void onContent(HttpContent content) {
        if (exchange == null) {
            return;
        }
        boolean collectingBody = body != null && !exchange.isEnded();
        if (collectingBody && !appendBody(content.content())) {
            collectingBody = false;
            if (responsePending) {
                return;
            }
        }
        if (!(content instanceof LastHttpContent)) {
            return;
        }
        receivingRequest = false;
        responseSent = false;
        if (collectingBody) {
            ByteBuf complete = body;
            body = null;
            exchange.request().progress().onBodyReceived();
            exchange.dispatch(complete, BodyFraming.isExplicit(request));
        } else if (exchange.isEnded() && !responsePending && closeAfterResponse) {
            endConnection();
        } else if (exchange.isEnded() && !responsePending) {
            processPipelinedMessages();
        }
    }

    private boolean appendBody(ByteBuf piece) {
        if (body.readableBytes() + piece.readableBytes() > server.limits().bodyBytes()) {
            disconnection = Disconnection.CONNECTION_FAULT;
            onDisconnected();
            responsePending = false;
            reject(
                    CONTENT_TOO_LARGE,
                    "request body exceeds " + server.limits().bodyBytes() + " bytes");
            return false;
        }
        if (!exchange.holdBody(body.readableBytes() + piece.readableBytes())) {
            return false;
        }
        body.writeBytes(piece);
        return true;
    }

    @Override
    public void sendHead(HttpResponse head) {
        // Requests that have been read behind this one are answered before the connection ends.
        if (server.isClosingAfterResponses() && !hasPipelinedRequest()) {
            closeAfterResponse = true;
        }
        responseEndsByClose = !BodyFraming.isSelfDelimited(head);
        if (responseEndsByClose) {
            closeAfterResponse = true;
        }
        if (closeAfterResponse) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        channel.writeAndFlush(head);
    }

    @Override
    public void sendContent(ByteBuf content) {
        channel.writeAndFlush(new DefaultHttpContent(content));
    }

    @Override
    public void finish() {
        responsePending = false;
        responseSent = receivingRequest;
        lastActiveAt = dependencies.clock().instant();
        releaseBody();
        if (closeWhenIdle && !hasPipelinedRequest()) {
            closeAfterResponse = true;
        }
        unwrittenResponses++;
        Exchange answered = exchange;
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                .addListener(done -> onResponseWritten(answered, done.isSuccess()));
        if (closeAfterResponse && receivingRequest) {
            // A close while the request still arrives would reset the response on its way.
            lingerTimer = dependencies.scheduler().schedule(LINGER, this::endConnection);
            return;
        }
        if (closeAfterResponse) {
            endConnection();
            return;
        }
        if (!receivingRequest) {
            // Deferred so that the target's connection returns to its pool before the next request.
            channel.eventLoop().execute(this::startNextRequest);
        }
    }

    private void onResponseWritten(Exchange answered, boolean successful) {
        if (!successful && answered != null && dependencies.stopDeadline().isStopping()) {
            new ExchangeLog(dependencies, answered.request()).unwritten(disconnection);
            dependencies.metrics().countUnwrittenAnswer(disconnection.unwrittenOutcome());
        }
        unwrittenResponses--;
        lastActiveAt = dependencies.clock().instant();
        if (unwrittenResponses == 0) {
            responseEndsByClose = false;
        }
        endOutputOnceWritten();
    }

    /** Ends the connection once its responses are written. */
    private void endConnection() {
        if (ending) {
            return;
        }
        ending = true;
        receivingRequest = false;
        requestFirstByteAt = null;
        releasePipelinedMessages();
        channel.config().setAutoRead(true);
        endOutputOnceWritten();
    }

    /** Ends the connection's own direction; the caller's is read until it ends, for a while. */
    private void endOutputOnceWritten() {
        if (!ending || outputEnded || unwrittenResponses > 0 || !channel.isActive()) {
            return;
        }
        outputEnded = true;
        lingerTimer.cancel();
        lingerTimer = dependencies.scheduler().schedule(LINGER, channel::close);
        ((DuplexChannel) channel)
                .shutdownOutput()
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Raises the send buffer if bytes wait for space in it. */
    void raiseSendBuffer(int bytes) {
        boolean waits = !outputEnded && !channel.isWritable() || unwrittenResponses > 0;
        if (waits && channel.config().getOption(ChannelOption.SO_SNDBUF) < bytes) {
            channel.config().setOption(ChannelOption.SO_SNDBUF, bytes);
        }
    }

    private void releasePipelinedMessages() {
        pipelinedMessages.forEach(ReferenceCountUtil::release);
        pipelinedMessages.clear();
    }

    private void startNextRequest() {
        processPipelinedMessages();
        if (isBetweenRequests() && channel.isActive()) {
            request = null;
            channel.pipeline().get(CodecRenewer.class).releaseBuffers(channel.pipeline());
        }
    }

    /** Processes messages that arrived while the last response was in progress. */
    private void processPipelinedMessages() {
        if (responsePending || receivingRequest) {
            return;
        }
        exchange = null;
        pipelinedBytes = 0;
        channel.config().setAutoRead(true);
        while (!pipelinedMessages.isEmpty() && (!responsePending || receivingRequest)) {
            process(pipelinedMessages.poll());
        }
    }

    @Override
    public void abort() {
        disconnection = Disconnection.LATER_ANSWER_BROKEN;
        close();
    }

    /** Ends whatever is in progress on the connection and closes it. */
    void abortAtGraceEnd() {
        disconnection = Disconnection.GRACE_ENDED;
        onDisconnected();
        close();
    }

    private void onDisconnected() {
        if (exchange != null && !exchange.isEnded()) {
            exchange.request().progress().onDisconnected(disconnection);
            exchange.onCallerDisconnected(disconnection);
        }
    }

    private void close() {
        bytesToWriteAtClose = bytesToWrite();
        if (responseEndsByClose) {
            // Without a length or chunks, only a reset shows that the response is not complete.
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        channel.close();
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    @Override
    public boolean acceptsChunkedEncoding() {
        return request.protocolVersion().isKeepAliveDefault();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (channel.isWritable() && exchange != null) {
            exchange.onCallerWritable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.remove(this);
        onDisconnected();
        releaseBody();
        releasePipelinedMessages();
        lingerTimer.cancel();
    }

    /** Releases what has been received of a body that is not dispatched. */
    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        dependencies
                .log()
                .write(
                        DecisionKind.CALLER_FAULT,
                        String.valueOf(context.channel().remoteAddress()),
                        () -> "" + cause,
                        "connection closed");
        if (!(cause instanceof IOException)) {
            disconnection = Disconnection.CONNECTION_FAULT;
        }
        close();
    }
}
