/** The control thread and the parts that exist once for each daemon. */
package org.bergamothoist.daemon.runtime;
