/** Settings of one daemon: a JSON file that is checked as a whole when it is read. */
package org.bergamothoist.daemon.settings;
