package dewplank.register;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests that delayed replies to requests of an earlier incarnation of a process are not counted. */
class EarlierIncarnationsTest {
    private static final AcceptorId B = RegisterBuilder.B;
    private static final AcceptorId C = RegisterBuilder.C;
    private static final Change<String> APPLYING = RegisterBuilder.APPLYING;
    private static final int INCARNATIONS = 200;
    private static final int PROCESS_SEED = 4711;

    /** Starts an incarnation from the state on disk; incarnations differ only in their random numbers. */
    private static Register<String> incarnation(DurableState disk, long seed) {
        return new RegisterBuilder().recovered(disk).seed(seed).build();
    }

    @Test
    void promisesToAnEarlierIncarnationAreNotCounted() {
        RecordedEffects earlierEffects = new RecordedEffects();
        incarnation(DurableState.fresh("1"), 1).change(0, 1, APPLYING, 1000, earlierEffects);
        RecordedEffects effects = new RecordedEffects();
        Register<String> present = incarnation(DurableState.fresh("1"), 2);
        present.change(0, 1, APPLYING, 1000, effects);
        Ballot old = earlierEffects.lastMessage(Prepare.class).ballot();
        Ballot current = effects.lastMessage(Prepare.class).ballot();
        Assertions.assertEquals(old.round(), current.round(), "both incarnations use the same round");
        present.handleMessage(1, RegisterBuilder.promise(B, old), effects);
        present.handleMessage(1, RegisterBuilder.promise(C, old), effects);
        Assertions.assertEquals(0, effects.messages(Accept.class).size());
        present.handleMessage(1, RegisterBuilder.promise(B, current), effects);
        present.handleMessage(1, RegisterBuilder.promise(C, current), effects);
        Assertions.assertEquals(3, effects.messages(Accept.class).size());
    }

    @Test
    void acceptancesOfAnEarlierIncarnationAreNotCounted() {
        RecordedEffects earlierEffects = new RecordedEffects();
        Register<String> before = incarnation(DurableState.fresh("1"), 1);
        before.change(0, 1, APPLYING, 1000, earlierEffects);
        Ballot old = earlierEffects.lastMessage(Prepare.class).ballot();
        RecordedEffects effects = new RecordedEffects();
        Register<String> present = incarnation(DurableState.fresh("1"), 2);
        present.change(0, 1, APPLYING, 1000, effects);
        Ballot current = effects.lastMessage(Prepare.class).ballot();
        present.handleMessage(1, RegisterBuilder.promise(B, current), effects);
        present.handleMessage(1, RegisterBuilder.promise(C, current), effects);
        present.handleMessage(2, RegisterBuilder.accepted(B, old), effects);
        present.handleMessage(2, RegisterBuilder.accepted(C, old), effects);
        Assertions.assertTrue(effects.completed.isEmpty());
        present.handleMessage(3, RegisterBuilder.accepted(B, current), effects);
        present.handleMessage(3, RegisterBuilder.accepted(C, old), effects);
        Assertions.assertTrue(effects.completed.isEmpty(), "one acceptance of each ballot is not a quorum");
        present.handleMessage(3, RegisterBuilder.accepted(C, current), effects);
        Assertions.assertEquals(1, effects.completed.size());
    }

    /**
     * Reports to the query of an earlier incarnation contain the newest ballots of that time, which may be outdated.
     */
    @Test
    void reportsToAnEarlierIncarnationAreNotCounted() {
        RegisterValue value = new RegisterValue(RegisterBuilder.SET, 1, new byte[] {1});
        Ballot ballot = new Ballot(1, "b");
        DurableState disk = DurableState.fresh("1").accepting(ballot, value).choosing(ballot, value);
        RecordedEffects earlierEffects = new RecordedEffects();
        incarnation(disk, 1).read(0, 1, 1000, earlierEffects);
        RecordedEffects effects = new RecordedEffects();
        Register<String> present = incarnation(disk, 2);
        present.read(0, 1, 1000, effects);
        long old = earlierEffects.lastMessage(StatusQuery.class).queryId();
        long current = effects.lastMessage(StatusQuery.class).queryId();
        Assertions.assertNotEquals(old, current);
        for (long queryId : new long[] {old, current}) {
            for (AcceptorId from : List.of(B, C)) {
                Assertions.assertTrue(effects.completed.isEmpty());
                present.handleMessage(
                        1,
                        new StatusReport(from.address(), from.identity(), "1", queryId, ballot, null, ballot, 1, null),
                        effects);
            }
        }
        Assertions.assertEquals(1, effects.completed.size());
    }

    /** Incarnations draw proposer names of 64 bits and first query ids of 62 bits at random, so they share none. */
    @Test
    void incarnationsShareNoBallotAndNoQueryId() {
        SplittableRandom seeds = new SplittableRandom(PROCESS_SEED);
        Set<Ballot> ballots = new HashSet<>();
        Set<Long> queryIds = new HashSet<>();
        for (int i = 0; i < INCARNATIONS; i++) {
            RecordedEffects effects = new RecordedEffects();
            Register<String> incarnation = incarnation(DurableState.fresh("1"), seeds.nextLong());
            incarnation.change(0, 1, APPLYING, 1000, effects);
            incarnation.tick(0, effects);
            incarnation.read(0, 2, 1000, effects);
            incarnation.read(0, 3, 1000, effects);
            Assertions.assertTrue(ballots.add(effects.lastMessage(Prepare.class).ballot()));
            Set<Long> current = new HashSet<>();
            effects.messages(StatusQuery.class).forEach(query -> current.add(query.queryId()));
            current.forEach(queryId -> Assertions.assertTrue(queryIds.add(queryId), "query id " + queryId));
        }
    }
}
