package org.bergamothoist.measure.capacity;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.limit.AdmissionController;
import org.bergamothoist.core.limit.AdmissionHandler;
import org.bergamothoist.core.limit.AdmissionLimits;
import org.bergamothoist.core.limit.AdmissionRequest;
import org.bergamothoist.core.limit.AdmissionSettings;
import org.bergamothoist.core.prompt.BlockHasher;
import org.bergamothoist.core.prompt.Prompt;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.quarantine.FingerprintCalculator;
import org.bergamothoist.core.request.CompletionListener;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.sheet.OrganisationLimits;
import org.bergamothoist.core.stream.ResumeToken;
import org.bergamothoist.core.stream.ResumeTokenCodec;
import org.bergamothoist.core.stream.StreamRelay;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/** Measures what each request and each piece costs in the core. */
final class RequestSlopes {

    private static final OrganisationId ORGANISATION = new OrganisationId("organisation-1");
    private static final ModelKey KEY = new ModelKey("model-1", "base", "v1");
    private static final int PROMPT_TOKENS = 20_000;
    private static final int BLOCK_TOKENS = 4_000;

    private final Meter meter;
    private final RandomGenerator random = new Random(1);

    RequestSlopes(Meter meter) {
        this.meter = meter;
    }

    void measure() {
        hashing();
        relay();
        tokens();
        admission(8);
        admission(6_100);
    }

    private void hashing() {
        Prompt prompt = new Prompt("word ".repeat(PROMPT_TOKENS * Prompt.BYTES_PER_TOKEN / 5));
        BlockHasher hasher = new BlockHasher(BLOCK_TOKENS);
        String size = PROMPT_TOKENS + " tokens";
        meter.time(
                "block hashes of a prompt",
                size,
                500,
                index -> hasher.hashChain(ORGANISATION, KEY, prompt));
        byte[] bytes = prompt.bytes();
        meter.time(
                "fingerprint of a prompt",
                size,
                500,
                index -> FingerprintCalculator.ofPrompt(ORGANISATION, KEY, bytes));
    }

    private void relay() {
        int pieces = 200_000;
        StreamRelay[] relay = new StreamRelay[1];
        int[] next = {0};
        meter.time(
                "relay of a piece",
                "1 token of 5 bytes, streams of 286 pieces",
                pieces,
                index -> {
                    if (next[0] % 286 == 0) {
                        relay[0] = newRelay();
                        next[0] = 0;
                    }
                    relay[0].deliverPiece(1, next[0]++, "word ", 1);
                });
        meter.heap(
                "heap of a stream's relay at its end",
                "286 tokens of 5 bytes",
                1_000,
                () -> {
                    StreamRelay[] relays = new StreamRelay[1_000];
                    for (int index = 0; index < relays.length; index++) {
                        relays[index] = newRelay();
                        for (int piece = 0; piece < 286; piece++) {
                            relays[index].deliverPiece(1, piece, "word ", 1);
                        }
                    }
                    return relays;
                });
    }

    private StreamRelay newRelay() {
        StreamRelay relay =
                new StreamRelay(
                        RequestId.create(Records.START, random),
                        new SilentListener(),
                        (guarantee, holds, detail) -> {});
        relay.beginAttempt();
        relay.request(Integer.MAX_VALUE);
        return relay;
    }

    private void tokens() {
        ResumeTokenCodec codec = new ResumeTokenCodec(new byte[32]);
        ResumeToken token =
                new ResumeToken(
                        ORGANISATION,
                        RequestId.create(Records.START, random),
                        new Fingerprint("ab".repeat(32)),
                        new TargetId("engine-1"),
                        new EngineIncarnation("incarnation-1"),
                        "stream-1",
                        KEY,
                        true,
                        0,
                        Records.START.plusSeconds(60));
        meter.time("resume token", "1 stream", 5_000, index -> codec.encode(token));
    }

    private void admission(int organisations) {
        VirtualTimeScheduler time = new VirtualTimeScheduler(Records.START);
        AdmissionController admission =
                new AdmissionController(AdmissionSettings.standard(), new WideLimits(), time, time);
        meter.time(
                "admission of a request",
                organisations + " organisations",
                20_000,
                index -> {
                    time.advance(Duration.ofMillis(12));
                    admission
                            .submit(
                                    new AdmissionRequest(
                                            new OrganisationId(
                                                    "organisation-" + index % organisations),
                                            KEY,
                                            5,
                                            1_000,
                                            Optional.empty()),
                                    new AcceptingHandler())
                            .close();
                });
    }

    private static final class WideLimits implements AdmissionLimits {

        private static final OrganisationLimits LIMITS =
                new OrganisationLimits(1_000_000, 1_000_000, 1);

        @Override
        public OrganisationLimits limits(OrganisationId organisation) {
            return LIMITS;
        }

        @Override
        public double share(OrganisationId organisation) {
            return 1;
        }
    }

    private static final class AcceptingHandler implements AdmissionHandler {

        @Override
        public boolean tryDispatch() {
            return true;
        }

        @Override
        public void refuse(ErrorCode code, String message) {
            throw new IllegalStateException(message);
        }
    }

    private static final class SilentListener implements CompletionListener {

        @Override
        public void onStart(
                RequestId requestId, ModelKey modelKey, String resumeToken, int nextPiece) {}

        @Override
        public void onPiece(int index, String text, int tokens) {}

        @Override
        public void onOutcome(RequestId requestId, Outcome outcome) {}
    }
}
