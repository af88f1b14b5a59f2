/**
 * The election of lease holders for singleton roles. A singleton role is work for the whole fleet that only one control
 * plane at a time may do, such as publishing the endpoint list. The package contains the two sides of an election,
 * {@link dewplank.singleton.Candidate} with its states and {@link dewplank.singleton.LeaseVoter}, the two messages
 * between them, and their {@link dewplank.singleton.LeaseTiming}. It must not contain the work of a role, nor any I/O,
 * thread or clock: callers pass in the time and the received messages, and implement the sending and persisting.
 *
 * <p>At most one candidate has the lease of a role at a time, each by its own clock. Fencing tokens increase from one
 * lease holder to the next, even while the voter set changes or a voter loses its disk. {@code docs/control-state.md},
 * point 6, numbers the invariants and explains why they hold. The leases follow Gray and Cheriton, SOSP 1989. On the
 * wire and in the operators' JSON a role is called a duty.
 *
 * <p>While a majority is connected and links and disks are healthy, the tests check these bounds on a vacancy. A
 * released lease is acquired again within one lease duration. If the holder terminates, pauses, loses its disk or is
 * partitioned off, the lease is acquired within two lease durations (the longest of 36,000 vacancies in {@code
 * LeaseVacancyTest} was 2.02 s at a lease of 1.2 s). If all voters restart, it is acquired within two lease durations
 * of their start. Because the delays are random, a vacancy usually is far shorter: one delay and two round trips after
 * the release or after the expiry of the votes.
 */
package dewplank.singleton;
