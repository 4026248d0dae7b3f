package org.bergamothoist.daemon.settings;

/**
 * Size bounds of callers' requests, in bytes.
 *
 * @param prompt a prompt in UTF-8
 * @param body a request body, the prompt of a completion not counted
 * @param headers request line and headers
 */
public record Bounds(int prompt, int body, int headers) {

    /** Returns the bound of a completion's whole body, in bytes. */
    public int completionBody() {
        return prompt + body;
    }
}
