/** Callers' connections and the relay of their requests. */
package org.bergamothoist.gateway.caller;
