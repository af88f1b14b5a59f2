/**
 * Sockets and timers on one thread: the event loop, its timer wheel, TCP connections and listeners.
 *
 * <p>All state of a process belongs to the thread of its {@link dewplank.net.EventLoop}. All callbacks of this package
 * run on that thread, one at a time, so users need no locks. Simulations replace {@link dewplank.net.Scheduler} by
 * virtual time. This package does not depend on HTTP or any other protocol.
 */
package dewplank.net;
