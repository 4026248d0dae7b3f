/**
 * Delivery of responses to callers: piece numbering, continuation after failures, resume tokens.
 */
package org.bergamothoist.core.stream;
