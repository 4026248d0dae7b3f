/** What daemons tell each other, and what each believes about the others. */
package org.bergamothoist.core.gossip;
