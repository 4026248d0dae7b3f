/** The filters that a request passes, in order, before it is dispatched to a target. */
package org.bergamothoist.core.filter;
