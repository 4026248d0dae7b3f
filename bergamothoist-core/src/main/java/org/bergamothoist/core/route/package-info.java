/** The routing configuration: which service receives which requests, and under which limits. */
package org.bergamothoist.core.route;
