/** Encoded forms of log records and peer messages, and the network between daemons. */
package org.bergamothoist.protocol;
