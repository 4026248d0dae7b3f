package org.bergamothoist.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.bergamothoist.core.error.ErrorCode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class OutcomeAnswerTest {

    /** Guards against codes whose status differs from the page that clients are written from. */
    @ParameterizedTest
    @EnumSource(
            value = ErrorCode.class,
            mode = EnumSource.Mode.EXCLUDE,
            names = {"INVALID_SHEET", "SHEET_CONFLICT", "INVALID_SETTINGS", "INVALID_PEER_MESSAGE"})
    void statusIsDocumented(ErrorCode code) throws Exception {
        assertThat(Files.readString(Path.of("..", "docs", "callers.md")))
                .contains("| `" + code + "` | " + OutcomeAnswer.status(code) + " |");
    }
}
