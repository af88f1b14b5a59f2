/**
 * The contract between a balancer and its hosts (the sidecar, the emulator and the simulator's adapter):
 * the events that a balancer handles and the actions that it emits.
 *
 * <p>Everything in this module is a pure function of events and their times. No class here reads a clock,
 * starts a thread, does I/O or uses a library beyond the JDK. The hosts' sockets, settings files and wire
 * formats do not belong here.
 */
package dewplank.balancer;
