package dewplank.register;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The acceptors that decide on the next value. While the set is joint, a quorum is a majority of the members and also a
 * majority of the joining acceptors. Immutable. Source: joint consensus, Ongaro and Ousterhout, "In Search of an
 * Understandable Consensus Algorithm", 2014, section 6.
 */
public final class AcceptorSet {
    private final long generation;
    private final List<AcceptorId> members;
    private final List<AcceptorId> joining;

    /** For Protostuff, which sets the fields and omits empty lists on the wire. */
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

    /** The first set of a fleet: generation 0, not joint. */
    public static AcceptorSet of(List<AcceptorId> members) {
        return new AcceptorSet(0, members, List.of());
    }

    /** Incremented by each of the two steps of a reconfiguration. */
    public long generation() {
        return generation;
    }

    /** The acceptors in force. */
    public List<AcceptorId> members() {
        return members;
    }

    /** The acceptors that are to replace the members; empty unless the set is joint. */
    public List<AcceptorId> joining() {
        return joining;
    }

    /** Whether a reconfiguration is half done, so that both majorities are needed. */
    public boolean isJoint() {
        return !joining.isEmpty();
    }

    /** Members and joining acceptors without duplicates, members first. */
    public List<AcceptorId> all() {
        Set<AcceptorId> union = new LinkedHashSet<>(members);
        union.addAll(joining);
        return new ArrayList<>(union);
    }

    /** Whether these acceptors form a quorum; an empty set has none. */
    public boolean isQuorum(Set<AcceptorId> acceptors) {
        return isMajority(members, acceptors) && (!isJoint() || isMajority(joining, acceptors));
    }

    /** Whether the set is not joint and its members are these, in any order. */
    public boolean consistsOf(List<AcceptorId> acceptors) {
        return !isJoint() && Set.copyOf(members).equals(Set.copyOf(acceptors));
    }

    /** The joint set that leads from this set to the target members: first step of a reconfiguration. */
    AcceptorSet beginTransition(List<AcceptorId> target) {
        return new AcceptorSet(generation + 1, members, target);
    }

    /** The set in which the joining acceptors are the members: second step of a reconfiguration. */
    AcceptorSet completeTransition() {
        return new AcceptorSet(generation + 1, joining, List.of());
    }

    private static boolean isMajority(List<AcceptorId> electorate, Set<AcceptorId> acceptors) {
        int present = 0;
        for (AcceptorId acceptor : electorate) {
            if (acceptors.contains(acceptor)) {
                present++;
            }
        }
        return present * 2 > electorate.size();
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
