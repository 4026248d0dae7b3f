/** JMH benchmarks and heap measurement of placement and the cache index. */
package org.bergamothoist.measure.benchmark;
