package org.bergamothoist.measure.check;

import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.platform.EngineCall;
import org.bergamothoist.core.platform.EngineListener;
import org.bergamothoist.core.platform.EngineResponseStart;
import org.bergamothoist.core.platform.TargetFailure;

/** One stream that a fake engine generates. */
final class EngineRun implements Connection.Peer {

    private final EngineCall call;
    private final EngineIncarnation incarnation;
    private final String streamId;
    private final int firstIndex;
    private final int pieces;
    private Connection<EngineListener> connection;
    private int generated;
    private int delivered;
    private int demand;
    private int cachedTokens;
    private boolean started;
    private boolean startDelivered;
    private boolean stopped;

    EngineRun(
            EngineCall call,
            EngineIncarnation incarnation,
            String streamId,
            Connection<EngineListener> connection) {
        this.call = call;
        this.incarnation = incarnation;
        this.streamId = streamId;
        this.connection = connection;
        this.firstIndex = AnswerText.count(call.deliveredText());
        int whole =
                AnswerText.length(
                        call.prompt().text(), call.modelKey(), firstIndex + call.maximumTokens());
        this.pieces = Math.max(0, whole - firstIndex);
    }

    EngineCall call() {
        return call;
    }

    EngineIncarnation incarnation() {
        return incarnation;
    }

    boolean finished() {
        return stopped || generated == pieces;
    }

    boolean stopped() {
        return stopped;
    }

    void started(int cached) {
        started = true;
        cachedTokens = cached;
        pump();
    }

    void generate() {
        generated++;
        pump();
    }

    /** Gives the stream to another connection, from a piece on. */
    void reattach(Connection<EngineListener> newConnection, int fromPiece) {
        breakConnection(TargetFailure.Kind.BROKEN, "another connection took the stream over");
        connection = newConnection;
        delivered = fromPiece;
        demand = 0;
        startDelivered = false;
        pump();
    }

    int pieces() {
        return pieces;
    }

    private void pump() {
        if (!started || connection == null) {
            return;
        }
        if (!startDelivered) {
            startDelivered = true;
            EngineResponseStart start =
                    new EngineResponseStart(
                            incarnation,
                            call.modelKey(),
                            streamId,
                            cachedTokens,
                            call.hashChain().promptTokens());
            connection.deliver(listener -> listener.onStarted(start));
        }
        while (demand > 0 && delivered < generated) {
            demand--;
            int index = delivered++;
            String text =
                    AnswerText.piece(call.prompt().text(), call.modelKey(), firstIndex + index);
            connection.deliver(listener -> listener.onPiece(index, text, 1));
        }
        if (delivered == pieces) {
            connection.end(EngineListener::onCompleted);
            connection = null;
        }
    }

    void fail(TargetFailure.Kind kind, String message) {
        stopped = true;
        breakConnection(kind, message);
    }

    /** Breaks the connection; the stream goes on and can be resumed. */
    void breakConnection(TargetFailure.Kind kind, String message) {
        if (connection != null) {
            Connection<EngineListener> broken = connection;
            connection = null;
            broken.end(listener -> listener.onFailed(new TargetFailure(kind, message)));
        }
    }

    @Override
    public void onDemand(int parts) {
        demand += parts;
        pump();
    }

    @Override
    public void onClosed() {
        // A frozen engine has text of before in its buffers, which still arrives.
        connection = null;
        stopped = true;
    }
}
