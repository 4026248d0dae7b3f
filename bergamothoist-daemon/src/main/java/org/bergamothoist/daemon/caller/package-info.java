/** The callers' HTTP interface: addresses, completions as server-sent events, plain services. */
package org.bergamothoist.daemon.caller;
