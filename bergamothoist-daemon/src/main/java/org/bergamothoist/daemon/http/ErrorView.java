package org.bergamothoist.daemon.http;

import org.bergamothoist.core.error.ErrorCode;

/** An error as the HTTP interfaces show it. */
public record ErrorView(ErrorCode code, String message) {}
