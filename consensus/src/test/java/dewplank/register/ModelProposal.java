package dewplank.register;

import java.util.List;
import java.util.Set;

/**
 * A value proposed at a ballot, and the acceptors that decide on it.
 *
 * @param ballot the ballot of the proposal
 * @param value the proposed value
 * @param deciders the acceptors of the value that the proposal is based on
 */
record ModelProposal(Ballot ballot, RegisterValue value, AcceptorSet deciders) {
    boolean isChosenBy(Set<AcceptorId> voters) {
        return deciders.isQuorum(voters);
    }

    boolean hasVolatileDeciders() {
        return deciders.all().stream().anyMatch(AcceptorId::isVolatile);
    }

    /** Whether both values may be in one chain of chosen values: they are equal, or the newer one extends the older. */
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

    boolean containsVersion(int version) {
        return versions(this).contains(version);
    }

    private static List<Integer> versions(ModelProposal proposal) {
        return VersionHistory.read(proposal.value.payload());
    }
}
