/**
 * What this daemon knows of engines' prefix caches. All classes are confined to the control thread.
 */
package org.bergamothoist.core.cache;
