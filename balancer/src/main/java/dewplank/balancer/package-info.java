/**
 * The events that a balancer gets and the actions that it may take: the contract between the decisions and their
 * hosts, which are the sidecar, the emulator and the simulator's adapter.
 *
 * <p>Everything in this module is pure: an event and a time go in, actions come out. No class here reads a
 * clock, starts a thread, does I/O or uses a library beyond the JDK. Sockets, settings files and wire formats
 * of the hosts do not belong here.
 */
package dewplank.balancer;
