/**
 * Singleton duties: ballots for a vacant duty, votes with leases, fencing numbers. At most one candidate holds a duty
 * at a time, each by its own clock, and numbers rise from holder to holder, also while the set of voters changes or one
 * of them loses its disk.
 *
 * <p>Where a majority is connected and links and disks are well, a duty that was laid down is held again within a
 * lease, one whose holder ended, froze, was wiped or cut off within two (the longest of 36,000 in {@code
 * DutyVacancyTest} was 2.02 s at a lease of 1.2 s), and one whose voters all started over within two of their start.
 * The tests hold these bounds. Delays are drawn, so mostly it is far less: a delay and two round trips after the duty
 * was laid down or the votes have lapsed.
 */
package dewplank.singleton;
