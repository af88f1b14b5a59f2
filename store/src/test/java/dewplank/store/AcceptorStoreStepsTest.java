package dewplank.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import dewplank.register.Ballot;
import dewplank.register.DurableState;
import dewplank.register.RegisterValue;
import java.nio.file.Path;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Terminates the process between any two steps of opening, saving and rewriting (writes, syncs, renames and deletions),
 * and restarts it, with or without a power loss in between.
 */
class AcceptorStoreStepsTest {
    private static final Path DIRECTORY = Path.of("data");
    /** A file larger than a quarter of the quota is rewritten, which happens every third save. */
    private static final long DISK_QUOTA_BYTES = 40_000;

    private static final int VALUE_BYTES = 3_000;
    private static final int SAVES = 10;
    private static final String ROLE = "list";
    private static final int RANDOM_TRIALS = 4;

    /** How the process terminates. */
    enum Termination {
        KILLED,
        POWER_LOSS_UNSYNCED_LOST,
        POWER_LOSS_UNSYNCED_RANDOM
    }

    private final MemoryFiles disk = new MemoryFiles();
    private DurableState saved;
    private DurableState next;
    private long savedToken;
    private long nextToken;

    @ParameterizedTest
    @EnumSource(Termination.class)
    void savedStateSurvivesTerminationAtAnyStep(Termination termination) throws StoreException {
        for (int trial = 0;
                trial < (termination == Termination.POWER_LOSS_UNSYNCED_RANDOM ? RANDOM_TRIALS : 1);
                trial++) {
            int steps = 0;
            while (!new AcceptorStoreStepsTest().survivesTerminationAfter(steps, termination, trial)) {
                steps++;
            }
            assertTrue(steps > 10 * SAVES, steps + " steps");
        }
    }

    /** Returns whether all saves completed before the process terminated. */
    private boolean survivesTerminationAfter(int steps, Termination termination, int trial) throws StoreException {
        disk.terminateAfterSteps(steps);
        boolean isComplete = saveAll();
        restart(termination, new SplittableRandom(steps * RANDOM_TRIALS + trial));
        return isComplete;
    }

    private boolean saveAll() {
        try {
            AcceptorStore store = open();
            saved = store.recovered();
            next = saved;
            for (int round = 1; round <= SAVES; round++) {
                next = state(saved.identity(), round);
                store.save(next);
                saved = next;
                nextToken = round;
                store.saveFencingToken(ROLE, nextToken);
                savedToken = nextToken;
            }
            return true;
        } catch (StoreException terminated) {
            return false;
        }
    }

    /** Checks that a restart recovers the last saved state or the next one, and the same state after a power loss. */
    private void restart(Termination termination, SplittableRandom random) throws StoreException {
        disk.recoverWrites();
        if (termination != Termination.KILLED) {
            disk.losePower(
                    termination == Termination.POWER_LOSS_UNSYNCED_LOST
                            ? MemoryFiles.Unsynced.LOST
                            : MemoryFiles.Unsynced.RANDOM,
                    random);
        }
        AcceptorStore reopened = open();
        if (saved != null) {
            Ballot ballot = reopened.recovered().promisedBallot();
            assertEquals(saved.identity(), reopened.recovered().identity());
            assertTrue(ballot.equals(saved.promisedBallot()) || ballot.equals(next.promisedBallot()), "has " + ballot);
            long token = reopened.fencingTokens().getOrDefault(ROLE, 0L);
            assertTrue(
                    token == savedToken || token == nextToken, token + " is neither the saved token nor the next one");
        }
        disk.losePower(MemoryFiles.Unsynced.LOST, random);
        AcceptorStore reopenedAgain = open();
        assertEquals(reopened.recovered().identity(), reopenedAgain.recovered().identity());
        assertEquals(
                reopened.recovered().promisedBallot(), reopenedAgain.recovered().promisedBallot());
        assertEquals(
                reopened.recovered().acceptedValue(), reopenedAgain.recovered().acceptedValue());
        assertEquals(reopened.fencingTokens(), reopenedAgain.fencingTokens());
        assertEquals(1, disk.fileCount(), "number of files");
    }

    private AcceptorStore open() throws StoreException {
        return AcceptorStore.open(DIRECTORY, disk, DISK_QUOTA_BYTES);
    }

    private static DurableState state(String identity, long round) {
        Ballot ballot = new Ballot(round, "p");
        byte[] payload = new byte[VALUE_BYTES];
        new SplittableRandom(round).nextBytes(payload);
        AcceptorSet acceptors = AcceptorSet.of(List.of(new AcceptorId("10.0.0.1:1", identity)));
        RegisterValue value = new RegisterValue(acceptors, round, payload);
        return new DurableState(identity, ballot, ballot, value, ballot, value);
    }
}
