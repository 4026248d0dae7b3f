/** The base of all unchecked exceptions and their codes. */
package org.bergamothoist.core.error;
