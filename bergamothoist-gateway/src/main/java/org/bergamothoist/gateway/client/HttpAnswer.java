package org.bergamothoist.gateway.client;

import io.netty.handler.codec.http.HttpHeaders;

/** A complete answer to a call. */
public record HttpAnswer(int status, HttpHeaders headers, byte[] body) {}
