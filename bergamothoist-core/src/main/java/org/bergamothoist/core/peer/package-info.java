/** Messages between daemons and the network that carries them. */
package org.bergamothoist.core.peer;
