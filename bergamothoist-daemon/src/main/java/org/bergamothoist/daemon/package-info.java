/** The daemon: one process's HTTP interfaces, adapters and router, wired by Guice. */
package org.bergamothoist.daemon;
