/** Relays of answers to callers: numbering, continuation after failures, resume tokens. */
package org.bergamothoist.core.stream;
