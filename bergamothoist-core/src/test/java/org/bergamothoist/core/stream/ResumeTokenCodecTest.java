package org.bergamothoist.core.stream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Instant;
import java.util.Random;
import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResumeTokenCodecTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

    private final ResumeTokenCodec codec = new ResumeTokenCodec("deployment key".getBytes());

    private static ResumeToken token() {
        return new ResumeToken(
                new OrganisationId("Klinik Zürich"),
                RequestId.create(NOW, new Random(1)),
                new Fingerprint("ab".repeat(32)),
                new TargetId("engine-1"),
                new EngineIncarnation("i-1"),
                "stream",
                new ModelKey("atelier-llm", "base", "v1"),
                true,
                3,
                NOW.plusSeconds(60));
    }

    /** Guards against losing a field of the token in encoding or decoding. */
    @Test
    void decodesWhatWasEncoded() {
        assertThat(codec.decode(codec.encode(token()), NOW)).isEqualTo(token());
    }

    /** Guards against accepting tampered tokens and tokens signed with another key. */
    @ParameterizedTest
    @ValueSource(ints = {0, 20, 100, -1})
    void rejectsTamperedToken(int position) {
        StringBuilder text = new StringBuilder(codec.encode(token()));
        int index = position < 0 ? text.length() + position : position;
        text.setCharAt(index, text.charAt(index) == 'A' ? 'Q' : 'A');
        assertThatThrownBy(() -> codec.decode(text.toString(), NOW))
                .isInstanceOf(BergamothoistException.class);
        assertThatThrownBy(
                        () ->
                                new ResumeTokenCodec("other key".getBytes())
                                        .decode(codec.encode(token()), NOW))
                .isInstanceOf(BergamothoistException.class);
    }

    /** Guards against accepting malformed or expired tokens. */
    @ParameterizedTest
    @ValueSource(strings = {"", "a", "****", "AAAA"})
    void rejectsMalformedOrExpiredToken(String text) {
        assertThatThrownBy(() -> codec.decode(text, NOW))
                .isInstanceOf(BergamothoistException.class);
        assertThatThrownBy(() -> codec.decode(codec.encode(token()), NOW.plusSeconds(61)))
                .hasMessageContaining("expired");
    }
}
