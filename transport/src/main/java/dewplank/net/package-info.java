/**
 * Sockets and timers on one thread: the event loop, its timer wheel, TCP connections and listeners.
 *
 * <p>All state of a process belongs to the thread of its {@link dewplank.net.EventLoop}; every callback of this package
 * runs there, one at a time, so users need no locks. {@link dewplank.net.Scheduler} is the part that simulations
 * replace by virtual time. Nothing here knows HTTP or any other protocol.
 */
package dewplank.net;
