package org.bergamothoist.standin.client;

/**
 * What the router said about a request identifier.
 *
 * @param code the router's code, empty if there is none
 */
public record Sending(String requestId, OutcomeKind outcome, String code) {}
