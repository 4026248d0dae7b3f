/** Reports that daemons exchange, and the directory of daemons that is built from them. */
package org.bergamothoist.core.gossip;
