/** JMH microbenchmarks, run by the command {@code lab bench} and not by the tests. */
package dewplank.lab.bench;
