package org.bergamothoist.standin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import org.bergamothoist.standin.internal.Json;

/** Writes server-sent events to one connection; to be used on the server's event loop. */
public final class StandInEventStream {

    private final Channel channel;
    private final boolean keepAlive;

    StandInEventStream(Channel channel, boolean keepAlive) {
        this.channel = channel;
        this.keepAlive = keepAlive;
    }

    /** Returns whether the client takes more events now. */
    public boolean writable() {
        return channel.isWritable();
    }

    /** Returns whether the connection is open. */
    public boolean open() {
        return channel.isActive();
    }

    /** Runs the action each time the connection becomes writable again. */
    public void onWritable(Runnable action) {
        channel.attr(StandInHttpServer.WRITABLE_ACTION).set(action);
    }

    /** Writes an event without an identifier. */
    public void send(String event, Object data) {
        write("event: " + event + "\n", data);
    }

    /** Writes an event with an identifier. */
    public void send(String event, int id, Object data) {
        write("event: " + event + "\nid: " + id + "\n", data);
    }

    /** Ends the stream in the regular way. */
    public void end() {
        onWritable(null);
        ChannelFuture written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Resets the connection after what was written so far has left. */
    public void reset() {
        onWritable(null);
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(ignored -> StandInHttpServer.reset(channel));
    }

    private void write(String head, Object data) {
        ByteBuf bytes =
                Unpooled.wrappedBuffer(
                        (head + "data: ").getBytes(StandardCharsets.UTF_8),
                        Json.write(data),
                        "\n\n".getBytes(StandardCharsets.UTF_8));
        channel.writeAndFlush(new DefaultHttpContent(bytes));
    }
}
