/**
 * Index of the blocks in the engines' prefix caches, and its synchronisation with the engines. All
 * classes are confined to the control thread.
 */
package org.bergamothoist.core.cache;
