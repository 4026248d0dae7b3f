/** Relays callers' requests by host and path to registered targets. */
package org.bergamothoist.gateway;
