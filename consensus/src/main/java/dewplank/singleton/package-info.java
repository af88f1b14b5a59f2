/**
 * The election of lease holders for singleton roles: work that one control plane at a time may do for the whole fleet,
 * such as to publish the endpoint list. Here live the two sides of an election, {@link dewplank.singleton.Candidate}
 * with its states and {@link dewplank.singleton.LeaseVoter}, the two messages between them, and their
 * {@link dewplank.singleton.LeaseTiming}. What a role does with its lease must not live here, nor any input or output,
 * thread or clock: the package is handed the time and what arrived, and hands back what is to be sent and persisted.
 *
 * <p>At most one candidate holds the lease of a role at a time, each by its own clock, and fencing tokens rise from
 * holder to holder, also while the set of voters changes or one of them loses its disk. {@code docs/control-state.md},
 * point 6, has the invariants by number with the argument for them. The source of leases is Gray and Cheriton, SOSP
 * 1989; on the wire and in the operators' JSON a role is called a duty.
 *
 * <p>Where a majority is connected and links and disks are well, a lease that was released is acquired again within a
 * lease; one whose holder ended, froze, was wiped or was partitioned off within two (the longest of 36,000 in {@code
 * LeaseVacancyTest} was 2.02 s at a lease of 1.2 s); and one whose voters all restarted within two of their start. The
 * tests hold these bounds. Delays are drawn, so mostly it is far less: a delay and two round trips after the release,
 * or after the votes have expired.
 */
package dewplank.singleton;
