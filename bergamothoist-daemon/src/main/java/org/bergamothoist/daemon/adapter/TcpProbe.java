package org.bergamothoist.daemon.adapter;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Finds out whether a process listens at an address. */
final class TcpProbe {

    /** Time for a connection to be refused: many times the way between data centres. */
    private static final Duration TIMEOUT = Duration.ofMillis(500);

    private static final Logger LOGGER = LogManager.getLogger(TcpProbe.class);

    private TcpProbe() {}

    /** Returns false if the address refuses connections, true otherwise. */
    static CompletionStage<Boolean> isListening(InetSocketAddress address) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        try {
            AsynchronousSocketChannel channel = AsynchronousSocketChannel.open();
            result.whenComplete((listening, failure) -> close(channel));
            result.completeOnTimeout(true, TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            channel.connect(address, result, new ConnectHandler());
        } catch (IOException exception) {
            LOGGER.warn("no probe of {} is possible: {}", address, exception.toString());
            result.complete(true);
        }
        return result;
    }

    private static void close(AsynchronousSocketChannel channel) {
        try {
            channel.close();
        } catch (IOException exception) {
            LOGGER.debug("a probe's socket was not closed: {}", exception.toString());
        }
    }

    /** Completes the result of a probe. */
    private static final class ConnectHandler
            implements CompletionHandler<Void, CompletableFuture<Boolean>> {

        @Override
        public void completed(Void connected, CompletableFuture<Boolean> result) {
            result.complete(true);
        }

        @Override
        public void failed(Throwable failure, CompletableFuture<Boolean> result) {
            LOGGER.debug("a probe was not connected: {}", failure.toString());
            result.complete(!(failure instanceof ConnectException));
        }
    }
}
