/**
 * Who belongs to the fleet: the sessions of data planes with control planes and their leases
 * ({@link dewplank.membership.SessionTable}), a process as messages name it ({@link dewplank.membership.Member}), and
 * which control planes should be the register's acceptors ({@link dewplank.membership.AcceptorPlacement}). Input and
 * output, threads and clocks must not live here, nor the agreement on a change of the acceptors, which is the
 * register's ({@code dewplank.register}).
 */
package dewplank.membership;
