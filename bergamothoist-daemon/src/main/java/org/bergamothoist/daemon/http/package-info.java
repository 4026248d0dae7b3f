/** HTTP rules that callers' interface and adapters share. */
package org.bergamothoist.daemon.http;
