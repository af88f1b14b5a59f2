/**
 * Runs balancers with the simulator's protocol: JSON lines on standard input and output, in virtual time. The simulator
 * defines the names of the messages and of their values.
 *
 * <p>The package makes no balancing decisions and opens no sockets. The sidecar runs the same balancers on sockets.
 */
package dewplank.simhost;
