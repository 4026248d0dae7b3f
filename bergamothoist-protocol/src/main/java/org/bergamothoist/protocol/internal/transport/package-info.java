/** Connections, frames and authentication of the network between daemons. */
package org.bergamothoist.protocol.internal.transport;
