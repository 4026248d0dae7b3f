package org.bergamothoist.measure.capacity;

/**
 * One measured figure.
 *
 * @param quantity what was measured
 * @param size size of the state or fleet at which it was measured
 * @param value the figure
 * @param unit unit of the figure
 */
public record Slope(String quantity, String size, double value, String unit) {}
