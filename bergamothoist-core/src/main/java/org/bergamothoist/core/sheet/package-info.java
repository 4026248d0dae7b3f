/**
 * Sheets: the spreadsheets in which operators define organisations with their entitlements and
 * limits. Covers their content, parsing, conflict detection, comparison and rollout.
 */
package org.bergamothoist.core.sheet;
