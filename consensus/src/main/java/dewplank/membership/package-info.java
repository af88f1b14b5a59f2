/**
 * Membership of the fleet: the sessions of data planes with control planes and their leases
 * ({@link dewplank.membership.SessionTable}), the description of a process in messages
 * ({@link dewplank.membership.Member}), and the selection of the control planes that should be the register's acceptors
 * ({@link dewplank.membership.AcceptorPlacement}). This package must not contain I/O, threads or clocks, nor the
 * agreement on a change of the acceptors, which belongs to the register ({@code dewplank.register}).
 */
package dewplank.membership;
