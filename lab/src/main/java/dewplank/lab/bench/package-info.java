/** Microbenchmarks on JMH, run by the command {@code lab bench}. None runs in the tests. */
package dewplank.lab.bench;
