/** The command line: one class for each command. */
package org.bergamothoist.cli;
