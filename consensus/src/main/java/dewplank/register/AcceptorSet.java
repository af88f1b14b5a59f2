package dewplank.register;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The acceptors that decide: a majority of the members and, while joint, a majority of those joining as well. */
public final class AcceptorSet {
    private final long generation;
    private final List<AcceptorId> members;
    private final List<AcceptorId> joining;

    /** For Protostuff, which fills the fields and sends nothing for an empty list. */
    private AcceptorSet() {
        this.generation = 0;
        this.members = new ArrayList<>();
        this.joining = new ArrayList<>();
    }

    /** A set of the given generation; it is joint when {@code joining} is not empty. */
    public AcceptorSet(long generation, List<AcceptorId> members, List<AcceptorId> joining) {
        this.generation = generation;
        this.members = List.copyOf(members);
        this.joining = List.copyOf(joining);
    }

    /** The set a fleet begins with: generation 0, not joint. */
    public static AcceptorSet of(List<AcceptorId> members) {
        return new AcceptorSet(0, members, List.of());
    }

    /** Grows by one with each step of a replacement. */
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

    /** Whether a replacement is half done, so that both majorities are needed. */
    public boolean isJoint() {
        return !joining.isEmpty();
    }

    /** Members and joining acceptors, each once. */
    public List<AcceptorId> all() {
        Set<AcceptorId> union = new LinkedHashSet<>(members);
        union.addAll(joining);
        return new ArrayList<>(union);
    }

    /** Whether these acceptors are enough to decide; an empty set never decides. */
    public boolean isQuorum(Set<AcceptorId> acceptors) {
        return isMajority(members, acceptors) && (!isJoint() || isMajority(joining, acceptors));
    }

    /** Whether the members are those wanted, in whatever order, and no replacement is under way. */
    public boolean consistsOf(List<AcceptorId> wanted) {
        return !isJoint() && Set.copyOf(members).equals(Set.copyOf(wanted));
    }

    /** The joint set that leads from this one to the wanted members. */
    AcceptorSet joinedBy(List<AcceptorId> wanted) {
        return new AcceptorSet(generation + 1, members, wanted);
    }

    /** The set that ends a replacement: those joining are the members. */
    AcceptorSet settled() {
        return new AcceptorSet(generation + 1, joining, List.of());
    }

    private static boolean isMajority(List<AcceptorId> whole, Set<AcceptorId> part) {
        int present = 0;
        for (AcceptorId acceptor : whole) {
            if (part.contains(acceptor)) {
                present++;
            }
        }
        return present * 2 > whole.size();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof AcceptorSet
                && generation == ((AcceptorSet) other).generation
                && members.equals(((AcceptorSet) other).members)
                && joining.equals(((AcceptorSet) other).joining);
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
