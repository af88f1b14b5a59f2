/**
 * Hosts balancers on the simulator's wire: JSON lines on standard input and output, in virtual time. The names of
 * messages and their values are the simulator's.
 *
 * <p>No decision belongs here, and no socket: the same balancers run in the sidecar on both.
 */
package dewplank.simhost;
