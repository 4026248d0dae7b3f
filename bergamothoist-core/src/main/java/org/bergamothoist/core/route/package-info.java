/** Routes of callers' requests to services, as operators configure them. */
package org.bergamothoist.core.route;
