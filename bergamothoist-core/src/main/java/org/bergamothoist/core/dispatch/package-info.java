/** Sends requests to targets, retries, and continues broken streams. */
package org.bergamothoist.core.dispatch;
