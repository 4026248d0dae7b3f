/** Parts shared by the stand-ins and the caller library; not for use by other modules. */
package org.bergamothoist.standin.internal;
