/** A whole deployment in one process: daemons over stand-ins of the outside systems. */
package org.bergamothoist.cli.demo;
