/** The routing core of one daemon, assembled from the other packages. */
package org.bergamothoist.core.node;
