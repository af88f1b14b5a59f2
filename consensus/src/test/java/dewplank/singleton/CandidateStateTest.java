package dewplank.singleton;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class CandidateStateTest {
    private static final LeaseTiming TIMING = new LeaseTiming(3_000, 150, 500, 250);
    private static final VoteRound ROUND =
            new VoteRound(AcceptorSet.of(List.of(new AcceptorId("x", "x1"))), Set.of(), 1, 1, 100);
    private static final CandidateState FOLLOWER = new FollowerState(100);
    private static final CandidateState PROBING = new ProbingState(ROUND, 600);
    private static final CandidateState REQUESTING_VOTES = new RequestingVotesState(ROUND, 600);
    private static final CandidateState LEASE_HOLDER = new LeaseHolderState(TIMING, ROUND);
    private static final CandidateState STOPPED = new StoppedState();
    private static final List<CandidateState> ALL = List.of(FOLLOWER, PROBING, REQUESTING_VOTES, LEASE_HOLDER, STOPPED);

    @Test
    void allowsOnlyTheListedTransitions() {
        Map<CandidateState, List<CandidateState>> allowed = Map.of(
                FOLLOWER, List.of(FOLLOWER, PROBING, STOPPED),
                PROBING, List.of(FOLLOWER, REQUESTING_VOTES, STOPPED),
                REQUESTING_VOTES, List.of(FOLLOWER, LEASE_HOLDER, STOPPED),
                LEASE_HOLDER, List.of(FOLLOWER, STOPPED),
                STOPPED, List.of(STOPPED));
        for (CandidateState from : ALL) {
            assertEquals(
                    allowed.get(from),
                    ALL.stream().filter(from::allowsTransitionTo).toList(),
                    from.getClass().getSimpleName());
        }
    }

    @Test
    void aFollowerThatSteppedDownIsEligibleOnlyAfterTheBackoff() {
        FollowerState follower = new FollowerState(5_000, 4_000);
        assertEquals(List.of(false, true), List.of(follower.isEligible(3_999), follower.isEligible(4_000)));
        follower.electNoLaterThan(6_000);
        assertEquals(5_000, follower.nextTickAtMs());
        follower.electNoLaterThan(4_500);
        assertEquals(4_500, follower.nextTickAtMs());
    }
}
