/**
 * Singleton duties: ballots for a vacant duty, votes with leases, fencing numbers. At most one candidate holds a duty
 * at a time, each by its own clock, and numbers rise from holder to holder, also while the list of voters changes.
 *
 * <p>Where a majority is connected and links and disks are well, a duty that was laid down is held again within a
 * lease, one whose holder ended or froze within two, and one whose voters all started over within two of their start.
 * The tests hold these bounds. Delays are drawn, so mostly it is far less: a delay and two round trips after the duty
 * was laid down or the votes have lapsed.
 */
package dewplank.duty;
