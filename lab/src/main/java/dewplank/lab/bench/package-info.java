/** Microbenchmarks on JMH, by the command {@code lab bench}; none runs in the tests. */
package dewplank.lab.bench;
