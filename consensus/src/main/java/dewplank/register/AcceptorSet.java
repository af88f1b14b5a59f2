package dewplank.register;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The acceptors that decide on the next value. A quorum of a list of acceptors is either a majority of the list whose
 * votes are on disks, or all acceptors of the list except the volatile ones known to have ended (their process has
 * exited), but at least one: invariant 13 in {@code docs/register.md}. While the set is joint, both a quorum of the
 * members and a quorum of the joining acceptors are needed. Immutable. Source: joint consensus, Ongaro and Ousterhout,
 * "In Search of an Understandable Consensus Algorithm", 2014, section 6.
 */
public final class AcceptorSet {
    private final long generation;
    private final List<AcceptorId> members;
    private final List<AcceptorId> joining;

    /** Used by Protostuff, which sets the fields afterwards and omits empty lists on the wire. */
    private AcceptorSet() {
        this.generation = 0;
        this.members = new ArrayList<>();
        this.joining = new ArrayList<>();
    }

    /** Creates a set of the given generation; it is joint when {@code joining} is not empty. */
    public AcceptorSet(long generation, List<AcceptorId> members, List<AcceptorId> joining) {
        this.generation = generation;
        this.members = List.copyOf(members);
        this.joining = List.copyOf(joining);
    }

    /** Returns the first set of a fleet, which has generation 0 and is not joint. */
    public static AcceptorSet of(List<AcceptorId> members) {
        return new AcceptorSet(0, members, List.of());
    }

    /** The generation, which each of the two steps of a reconfiguration increments. */
    public long generation() {
        return generation;
    }

    /** The current acceptors. */
    public List<AcceptorId> members() {
        return members;
    }

    /** The acceptors that are to replace the members; empty unless the set is joint. */
    public List<AcceptorId> joining() {
        return joining;
    }

    /** Whether a reconfiguration is in progress, so that quorums of both lists are needed. */
    public boolean isJoint() {
        return !joining.isEmpty();
    }

    /** Members and joining acceptors without duplicates, members first. */
    public List<AcceptorId> all() {
        Set<AcceptorId> union = new LinkedHashSet<>(members);
        union.addAll(joining);
        return new ArrayList<>(union);
    }

    /** Whether these acceptors form a quorum if no volatile one is known to have ended; an empty set has no quorum. */
    public boolean isQuorum(Set<AcceptorId> acceptors) {
        return isQuorum(acceptors, Set.of());
    }

    /**
     * Whether these acceptors form a quorum.
     *
     * @param ended volatile acceptors that were known to have ended before the first of these votes was requested
     */
    public boolean isQuorum(Set<AcceptorId> acceptors, Set<AcceptorId> ended) {
        if (!isJoint()) {
            return isQuorumOf(members, acceptors, ended);
        }
        boolean isMembersQuorum = isEnded(ended) || isQuorumOf(members, acceptors, ended);
        return isMembersQuorum && isQuorumOf(joining, acceptors, ended);
    }

    /** Whether all members are volatile and known to have ended, so that they alone cannot choose a value any more. */
    boolean isEnded(Set<AcceptorId> ended) {
        return !members.isEmpty() && ended.containsAll(members);
    }

    /** Whether the set is not joint and has exactly these members, in any order. */
    public boolean consistsOf(List<AcceptorId> acceptors) {
        return !isJoint() && Set.copyOf(members).equals(Set.copyOf(acceptors));
    }

    /** Returns the joint set for the transition to the target members: the first step of a reconfiguration. */
    AcceptorSet beginTransition(List<AcceptorId> target) {
        return new AcceptorSet(generation + 1, members, target);
    }

    /** Returns the set whose members are the joining acceptors: the second step of a reconfiguration. */
    AcceptorSet completeTransition() {
        return new AcceptorSet(generation + 1, joining, List.of());
    }

    private static boolean isQuorumOf(List<AcceptorId> voters, Set<AcceptorId> acceptors, Set<AcceptorId> ended) {
        int durableVotes = 0;
        int remaining = 0;
        int remainingVotes = 0;
        for (AcceptorId acceptor : voters) {
            boolean hasVoted = acceptors.contains(acceptor);
            if (hasVoted && !acceptor.isVolatile()) {
                durableVotes++;
            }
            if (!ended.contains(acceptor)) {
                remaining++;
                remainingVotes += hasVoted ? 1 : 0;
            }
        }
        boolean isDurableMajority = durableVotes * 2 > voters.size();
        return isDurableMajority || remaining > 0 && remainingVotes == remaining;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof AcceptorSet set
                && generation == set.generation
                && members.equals(set.members)
                && joining.equals(set.joining);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * Long.hashCode(generation) + members.hashCode()) + joining.hashCode();
    }

    @Override
    public String toString() {
        return generation + ":" + members + (isJoint() ? "->" + joining : "");
    }
}
