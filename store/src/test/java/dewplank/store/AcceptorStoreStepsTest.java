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
 * The process ends between each two steps of an opening, of saves and of rewrites: writes, syncs, renames and removals.
 * It is then started again, with or without a loss of power in between.
 */
class AcceptorStoreStepsTest {
    private static final Path DIRECTORY = Path.of("data");
    /** A file is rewritten beyond a quarter of it, which is every third save. */
    private static final long DISK_QUOTA_BYTES = 40_000;

    private static final int VALUE_BYTES = 3_000;
    private static final int SAVES = 10;
    private static final String ROLE = "list";
    private static final int DRAWS = 4;

    /** How the process ends. */
    enum End {
        KILLED,
        POWER_LOST_UNSYNCED_GONE,
        POWER_LOST_UNSYNCED_DRAWN
    }

    private final MemoryFiles disk = new MemoryFiles();
    private DurableState saved;
    private DurableState next;
    private long savedToken;
    private long nextToken;

    @ParameterizedTest
    @EnumSource(End.class)
    void whatIsSavedLastsWhereverTheProcessEnds(End end) throws StoreException {
        for (int draw = 0; draw < (end == End.POWER_LOST_UNSYNCED_DRAWN ? DRAWS : 1); draw++) {
            int steps = 0;
            while (!new AcceptorStoreStepsTest().lastsAfter(steps, end, draw)) {
                steps++;
            }
            assertTrue(steps > 10 * SAVES, steps + " steps");
        }
    }

    /** Whether all was saved before the process ended. */
    private boolean lastsAfter(int steps, End end, int draw) throws StoreException {
        disk.endAfterSteps(steps);
        boolean isComplete = isSavedCompletely();
        restart(end, new SplittableRandom(steps * DRAWS + draw));
        return isComplete;
    }

    private boolean isSavedCompletely() {
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
        } catch (StoreException ended) {
            return false;
        }
    }

    /** Finds the state saved last, or the one being saved, and the same again after a loss of power. */
    private void restart(End end, SplittableRandom random) throws StoreException {
        disk.recoverWrites();
        if (end != End.KILLED) {
            disk.losePower(
                    end == End.POWER_LOST_UNSYNCED_GONE ? MemoryFiles.Unsynced.GONE : MemoryFiles.Unsynced.DRAWN,
                    random);
        }
        AcceptorStore found = open();
        if (saved != null) {
            Ballot ballot = found.recovered().promisedBallot();
            assertEquals(saved.identity(), found.recovered().identity());
            assertTrue(ballot.equals(saved.promisedBallot()) || ballot.equals(next.promisedBallot()), "has " + ballot);
            long token = found.fencingTokens().getOrDefault(ROLE, 0L);
            assertTrue(token == savedToken || token == nextToken, token + " is neither");
        }
        disk.losePower(MemoryFiles.Unsynced.GONE, random);
        AcceptorStore again = open();
        assertEquals(found.recovered().identity(), again.recovered().identity());
        assertEquals(found.recovered().promisedBallot(), again.recovered().promisedBallot());
        assertEquals(found.recovered().acceptedValue(), again.recovered().acceptedValue());
        assertEquals(found.fencingTokens(), again.fencingTokens());
        assertEquals(1, disk.count(), "files left behind");
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
