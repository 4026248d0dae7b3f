/** Accepts callers' HTTP connections and relays their requests to targets, with retries. */
package org.bergamothoist.gateway.caller;
