package dewplank.register;

import java.util.List;
import java.util.Set;

/**
 * A value proposed at a ballot, and the acceptors that decide on it.
 *
 * @param ballot where
 * @param value what
 * @param deciders the acceptors of the value that it was built on
 */
record ModelProposal(Ballot ballot, RegisterValue value, AcceptorSet deciders) {
    boolean isChosenBy(Set<AcceptorId> voters) {
        return deciders.isQuorum(voters);
    }

    boolean hasVolatileDeciders() {
        return deciders.all().stream().anyMatch(AcceptorId::isVolatile);
    }

    /** Whether a chain of chosen values may hold both: one is the other, or comes after it and contains it. */
    boolean agreesWith(ModelProposal other) {
        if (value.revision() == other.value.revision()) {
            return value.equals(other.value);
        }
        boolean isOlder = value.revision() < other.value.revision();
        ModelProposal older = isOlder ? this : other;
        ModelProposal newer = isOlder ? other : this;
        List<Integer> before = versions(older);
        List<Integer> after = versions(newer);
        return older.ballot.compareTo(newer.ballot) < 0
                && older.value.acceptors().generation()
                        <= newer.value.acceptors().generation()
                && before.size() <= after.size()
                && before.equals(after.subList(0, before.size()));
    }

    boolean holds(int version) {
        return versions(this).contains(version);
    }

    private static List<Integer> versions(ModelProposal proposal) {
        return VersionHistory.read(proposal.value.payload());
    }
}
