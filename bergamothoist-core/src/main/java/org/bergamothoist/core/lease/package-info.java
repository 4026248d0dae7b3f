/** The right of one daemon at a time to order targets, decided by conditional appends. */
package org.bergamothoist.core.lease;
