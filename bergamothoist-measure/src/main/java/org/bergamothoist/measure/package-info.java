/** Measures placement policies over small fake engines with a virtual clock. */
package org.bergamothoist.measure;
