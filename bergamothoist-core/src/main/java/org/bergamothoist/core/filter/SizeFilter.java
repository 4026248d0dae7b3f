package org.bergamothoist.core.filter;

import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.request.CompletionExchange;
import org.bergamothoist.core.request.CompletionSubmission;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.RequestFilter;

/** Refuses completions whose prompt, token limit or priority is out of bounds. */
public final class SizeFilter implements RequestFilter<CompletionExchange> {

    private static final int LOWEST_PRIORITY = 9;

    private final int maximumPromptBytes;
    private final int maximumTokens;

    /**
     * Creates a filter.
     *
     * @param maximumPromptBytes maximum length of a prompt in bytes of UTF-8
     * @param maximumTokens maximum number of tokens that one request may generate
     */
    public SizeFilter(int maximumPromptBytes, int maximumTokens) {
        this.maximumPromptBytes = maximumPromptBytes;
        this.maximumTokens = maximumTokens;
    }

    @Override
    public void apply(CompletionExchange exchange, Runnable proceed) {
        CompletionSubmission submission = exchange.submission();
        if (submission.prompt().byteLength() > maximumPromptBytes) {
            refuse(
                    exchange,
                    ErrorCode.TOO_LARGE,
                    "the prompt has "
                            + submission.prompt().byteLength()
                            + " bytes, more than the maximum of "
                            + maximumPromptBytes);
            return;
        }
        if (submission.maximumTokens() < 1 || submission.maximumTokens() > maximumTokens) {
            refuse(
                    exchange,
                    ErrorCode.INVALID_REQUEST,
                    "maximum_tokens must be between 1 and "
                            + maximumTokens
                            + ", not "
                            + submission.maximumTokens());
            return;
        }
        if (submission.priority() < 0 || submission.priority() > LOWEST_PRIORITY) {
            refuse(
                    exchange,
                    ErrorCode.INVALID_REQUEST,
                    "the priority must be between 0 and 9, not " + submission.priority());
            return;
        }
        proceed.run();
    }

    private static void refuse(CompletionExchange exchange, ErrorCode code, String message) {
        exchange.finish(Outcome.notRun(code, message));
    }
}
