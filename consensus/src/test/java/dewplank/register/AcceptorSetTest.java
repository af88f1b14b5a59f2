package dewplank.register;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests quorums of acceptors with and without a disk: invariant 13 in {@code docs/register.md}. */
class AcceptorSetTest {
    private static final AcceptorId A = new AcceptorId("a", "a0");
    private static final AcceptorId B = new AcceptorId("b", "b0");
    private static final AcceptorId C = new AcceptorId("c", "c0");
    private static final AcceptorId X = volatileAcceptor("x");
    private static final AcceptorId Y = volatileAcceptor("y");
    private static final AcceptorId Z = volatileAcceptor("z");

    private static AcceptorId volatileAcceptor(String address) {
        return new AcceptorId(address, AcceptorId.volatileIdentity(address, "1"));
    }

    private static boolean isQuorum(List<AcceptorId> members, Set<AcceptorId> votes, Set<AcceptorId> ended) {
        return AcceptorSet.of(members).isQuorum(votes, ended);
    }

    @Test
    void diskIdentitiesAreNotVolatile() {
        assertTrue(X.isVolatile());
        assertFalse(A.isVolatile());
        assertFalse(new AcceptorId("10.0.0.1:7", "founder@10.0.0.1:7").isVolatile());
    }

    @Test
    void majorityIsAQuorumOfAcceptorsWithDisks() {
        assertTrue(isQuorum(List.of(A, B, C), Set.of(A, B), Set.of()));
        assertFalse(isQuorum(List.of(A, B, C), Set.of(A), Set.of()));
        assertFalse(isQuorum(List.of(A, B), Set.of(A), Set.of()));
        assertFalse(isQuorum(List.of(), Set.of(), Set.of()));
    }

    @Test
    void quorumWithVolatileVotesNeedsAllAcceptors() {
        assertFalse(isQuorum(List.of(X, Y, Z), Set.of(X, Y), Set.of()));
        assertTrue(isQuorum(List.of(X, Y, Z), Set.of(X, Y, Z), Set.of()));
        assertFalse(isQuorum(List.of(A, X, Y), Set.of(X, Y), Set.of()));
        assertTrue(isQuorum(List.of(A, B, X), Set.of(A, B), Set.of()));
        assertFalse(isQuorum(List.of(A, B, X), Set.of(A, X), Set.of()));
    }

    @Test
    void quorumExcludesEndedAcceptorsButNeedsOneVote() {
        assertTrue(isQuorum(List.of(X, Y, Z), Set.of(Z), Set.of(X, Y)));
        assertFalse(isQuorum(List.of(X, Y, Z), Set.of(X, Y), Set.of(X, Y)));
        assertFalse(isQuorum(List.of(X, Y, Z), Set.of(X, Y, Z), Set.of(X, Y, Z)));
        assertTrue(isQuorum(List.of(A, X, Y), Set.of(A), Set.of(X, Y)));
    }

    @Test
    void jointSetHasAQuorumAfterAllMembersHaveEnded() {
        AcceptorSet joint = AcceptorSet.of(List.of(X, Y)).beginTransition(List.of(A, B, C));
        assertFalse(joint.isQuorum(Set.of(A, B, C), Set.of()));
        assertFalse(joint.isQuorum(Set.of(A, B, C), Set.of(X)));
        assertTrue(joint.isQuorum(Set.of(A, B, C, Y), Set.of(X)));
        assertTrue(joint.isQuorum(Set.of(A, B), Set.of(X, Y)));
        assertFalse(joint.isQuorum(Set.of(A), Set.of(X, Y)));
        AcceptorSet toVolatile = AcceptorSet.of(List.of(A, B, C)).beginTransition(List.of(X, Y));
        assertFalse(toVolatile.isQuorum(Set.of(A, B, C), Set.of(X, Y)));
    }

    /**
     * Any two quorums of one set intersect, regardless of which members have a disk. The exception, two quorums that
     * each exclude a member of the other as ended, cannot occur in any order of events: {@code docs/register.md}.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5})
    void anyTwoQuorumsIntersect(int size) {
        for (int withoutDisk = 0; withoutDisk < 1 << size; withoutDisk++) {
            List<AcceptorId> members = members(size, withoutDisk);
            List<Set<AcceptorId>> subsets = subsets(members);
            for (Set<AcceptorId> ended : subsets) {
                if (ended.stream().allMatch(AcceptorId::isVolatile)) {
                    assertQuorumsIntersect(members, subsets, ended);
                }
            }
        }
    }

    private static void assertQuorumsIntersect(
            List<AcceptorId> members, List<Set<AcceptorId>> subsets, Set<AcceptorId> ended) {
        for (Set<AcceptorId> one : subsets) {
            for (Set<AcceptorId> other : subsets) {
                if (isQuorum(members, one, Set.of()) && isQuorum(members, other, ended)) {
                    Set<AcceptorId> both = new HashSet<>(one);
                    both.retainAll(other);
                    assertFalse(both.isEmpty(), one + " and " + other + " of " + members + ", ended " + ended);
                }
            }
        }
    }

    private static List<AcceptorId> members(int size, int withoutDisk) {
        return IntStream.range(0, size)
                .mapToObj(index -> (withoutDisk & 1 << index) != 0
                        ? volatileAcceptor("m" + index)
                        : new AcceptorId("m" + index, "disk" + index))
                .toList();
    }

    private static List<Set<AcceptorId>> subsets(List<AcceptorId> members) {
        List<Set<AcceptorId>> subsets = new ArrayList<>();
        for (int bits = 0; bits < 1 << members.size(); bits++) {
            Set<AcceptorId> subset = new HashSet<>();
            for (int index = 0; index < members.size(); index++) {
                if ((bits & 1 << index) != 0) {
                    subset.add(members.get(index));
                }
            }
            subsets.add(subset);
        }
        assertEquals(1 << members.size(), subsets.size());
        return subsets;
    }
}
