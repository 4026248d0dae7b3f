/** The base class of all exceptions, and the error codes. */
package org.bergamothoist.core.error;
