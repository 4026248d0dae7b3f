package org.bergamothoist.gateway.client;

/**
 * Where a request goes, and how its answer is recognised.
 *
 * @param address IP address and port
 * @param peer name of the peer at the address, such as the identifier of a target
 * @param match how its answer is told from other answers
 */
public record Destination(String address, String peer, AnswerMatch match) {}
