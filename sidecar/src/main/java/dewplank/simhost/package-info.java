/**
 * The balancer as the simulator's guest: events come in as lines, actions go out as lines.
 *
 * <p>One thread reads, decides and writes. The form of the lines is the simulator's; nothing here opens a socket, and
 * no decision is made here.
 */
package dewplank.simhost;
