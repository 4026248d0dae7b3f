/** Dispatch of requests to targets: retries, hedging, and continuation of broken streams. */
package org.bergamothoist.core.dispatch;
