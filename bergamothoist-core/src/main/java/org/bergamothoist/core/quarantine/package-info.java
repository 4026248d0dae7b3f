/** Identifies and refuses requests whose content crashes engines. */
package org.bergamothoist.core.quarantine;
