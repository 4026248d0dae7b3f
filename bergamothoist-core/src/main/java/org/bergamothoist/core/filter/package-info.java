/** The steps that each request passes before it is dispatched. */
package org.bergamothoist.core.filter;
