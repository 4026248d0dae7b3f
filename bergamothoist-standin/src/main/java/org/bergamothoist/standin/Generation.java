package org.bergamothoist.standin;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.prompt.BlockHashChain;
import org.bergamothoist.core.prompt.BlockHasher;
import org.bergamothoist.core.prompt.Prompt;
import org.bergamothoist.standin.BlockCache.Block;
import org.bergamothoist.standin.BlockCache.BlockKey;

/** One stream of an engine stand-in. Its pieces are computed on demand, so it keeps no text. */
final class Generation {

    private final String streamId;
    private final String incarnation;
    private final EngineMessages.Completion request;
    private final ModelKey modelKey;
    private final GeneratedText text;
    private final int tokensPerPiece;
    private final long arrival;
    private final int promptTokens;
    private final List<BlockKey> chain = new ArrayList<>();
    private final List<Block> contents = new ArrayList<>();
    private Optional<EngineMessages.Start> start = Optional.empty();
    private int prefilledTokens;
    private int producedTokens;
    private int sentPieces;
    private Optional<Instant> endedAt = Optional.empty();
    private Optional<String> failure = Optional.empty();
    private Subscriber subscriber;

    Generation(
            String streamId,
            String incarnation,
            EngineMessages.Completion request,
            EngineSettings settings,
            long arrival) {
        this.streamId = streamId;
        this.incarnation = incarnation;
        this.request = request;
        this.modelKey = request.modelKey();
        this.text = GeneratedText.of(request.prompt());
        this.tokensPerPiece = settings.bounds().tokensPerPiece();
        this.arrival = arrival;
        Prompt prompt = new Prompt(request.prompt());
        this.promptTokens =
                prompt.estimatedTokens() + new Prompt(request.continuation()).estimatedTokens();
        label(prompt, settings.cache().blockTokens());
    }

    private void label(Prompt prompt, int blockTokens) {
        OrganisationId organisation = new OrganisationId(request.organisation());
        BlockHashChain own = new BlockHasher(blockTokens).hashChain(organisation, modelKey, prompt);
        int labelled = Math.min(own.length(), request.blockHashes().size());
        for (int index = 0; index < labelled; index++) {
            chain.add(new BlockKey(request.cacheSalt(), request.blockHashes().get(index)));
            contents.add(new Block(request.organisation(), modelKey, own.hash(index)));
        }
    }

    String streamId() {
        return streamId;
    }

    String incarnation() {
        return incarnation;
    }

    String prompt() {
        return request.prompt();
    }

    int priority() {
        return request.priority();
    }

    long arrival() {
        return arrival;
    }

    int promptTokens() {
        return promptTokens;
    }

    List<BlockKey> chain() {
        return chain;
    }

    List<Block> contents() {
        return contents;
    }

    /** Returns whether the continuation is what the engine would have generated itself. */
    boolean continuationMatches() {
        return text.slice(0, request.continuation().length()).equals(request.continuation());
    }

    /** Fixes the head of the answer when the prefill begins. */
    void beginPrefill(int cachedTokens) {
        prefilledTokens = promptTokens - cachedTokens;
        start =
                Optional.of(
                        new EngineMessages.Start(
                                incarnation,
                                modelKey.model(),
                                modelKey.adapter(),
                                modelKey.version(),
                                streamId,
                                cachedTokens,
                                promptTokens));
    }

    int prefilledTokens() {
        return prefilledTokens;
    }

    /** Generates one token; returns whether the stream goes on. */
    boolean generate() {
        producedTokens++;
        return producedTokens < request.maxTokens();
    }

    void end(Instant time) {
        endedAt = Optional.of(time);
    }

    void fail(Instant time, String message) {
        failure = Optional.of(message);
        end(time);
    }

    boolean ended() {
        return endedAt.isPresent();
    }

    boolean endedBefore(Instant time) {
        return endedAt.isPresent() && endedAt.get().isBefore(time);
    }

    /** Returns the tokens that were computed, but that no client received. */
    int undeliveredTokens() {
        int sentTokens = Math.min(sentPieces * tokensPerPiece, producedTokens);
        return producedTokens - sentTokens + (sentPieces == 0 ? prefilledTokens : 0);
    }

    /** Sends events from a piece on to the client, in place of any earlier client. */
    void subscribe(StandInEventStream stream, int fromPiece, int resetAfterPieces) {
        if (subscriber != null) {
            subscriber.stream.reset();
        }
        subscriber = new Subscriber(stream, fromPiece, resetAfterPieces);
        stream.onWritable(this::pump);
        pump();
    }

    /** Sends what is ready and what the client takes. */
    void pump() {
        if (subscriber == null) {
            return;
        }
        if (!subscriber.stream.open() || subscriber.pump()) {
            subscriber = null;
        }
    }

    private int readyPieces() {
        return producedTokens == request.maxTokens()
                ? (producedTokens + tokensPerPiece - 1) / tokensPerPiece
                : producedTokens / tokensPerPiece;
    }

    private EngineMessages.Piece piece(int index) {
        int first = index * tokensPerPiece;
        int tokens = Math.min(tokensPerPiece, request.maxTokens() - first);
        int from = request.continuation().length() + first * GeneratedText.CHARACTERS_PER_TOKEN;
        int to = from + tokens * GeneratedText.CHARACTERS_PER_TOKEN;
        return new EngineMessages.Piece(index, text.slice(from, to), tokens);
    }

    private final class Subscriber {

        private final StandInEventStream stream;
        private final int resetAfterPieces;
        private int nextPiece;
        private int pieces;
        private boolean startSent;

        Subscriber(StandInEventStream stream, int nextPiece, int resetAfterPieces) {
            this.stream = stream;
            this.nextPiece = nextPiece;
            this.resetAfterPieces = resetAfterPieces;
        }

        /** Returns whether the client needs nothing more. */
        boolean pump() {
            if (start.isPresent() && !startSent) {
                stream.send("start", start.get());
                startSent = true;
            }
            while (startSent && stream.writable()) {
                if (pieces == resetAfterPieces) {
                    stream.reset();
                    return true;
                }
                if (nextPiece >= readyPieces()) {
                    break;
                }
                stream.send("piece", piece(nextPiece));
                nextPiece++;
                pieces++;
                sentPieces = Math.max(sentPieces, nextPiece);
            }
            return ended() && finish();
        }

        private boolean finish() {
            if (failure.isPresent()) {
                stream.send("error", new EngineMessages.Error(failure.get()));
                stream.end();
                return true;
            }
            if (nextPiece < readyPieces()) {
                return false;
            }
            stream.send("done", new EngineMessages.Done());
            stream.end();
            return true;
        }
    }
}
