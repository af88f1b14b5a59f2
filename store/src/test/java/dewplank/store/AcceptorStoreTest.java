package dewplank.store;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import dewplank.register.Acceptor;
import dewplank.register.AcceptorSet;
import dewplank.register.Ballot;
import dewplank.register.DurableState;
import dewplank.register.RegisterValue;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class AcceptorStoreTest {
    private static final Path DIRECTORY = Path.of("data");
    private static final Path FILE = DIRECTORY.resolve("acceptor.mv");
    private static final long ROOM = 64L << 20;
    private static final int LARGE = 120_000;

    private final MemoryFiles files = new MemoryFiles();
    private final SplittableRandom random = new SplittableRandom(7);

    private AcceptorStore open() throws StoreException {
        return AcceptorStore.open(DIRECTORY, files, ROOM);
    }

    private static RegisterValue value(long revision, int length) {
        byte[] payload = new byte[length];
        new SplittableRandom(revision).nextBytes(payload);
        List<Acceptor> members = List.of(new Acceptor("10.0.0.1:1", "a"), new Acceptor("10.0.0.2:1", "b"));
        return new RegisterValue(new AcceptorSet(revision, members, members), revision, payload);
    }

    /** A state in which the newest value is accepted and the one before it chosen. */
    private static DurableState state(String identity, long round, int length) {
        Ballot ballot = new Ballot(round, "p");
        return new DurableState(identity, ballot, ballot, value(round, length), new Ballot(round - 1, "p"),
            round > 1 ? value(round - 1, length) : null);
    }

    private static void assertSame(DurableState expected, DurableState actual) {
        Assertions.assertEquals(expected.identity(), actual.identity());
        Assertions.assertEquals(expected.promised(), actual.promised());
        Assertions.assertEquals(expected.accepted(), actual.accepted());
        Assertions.assertEquals(expected.value(), actual.value());
        Assertions.assertEquals(expected.chosenBallot(), actual.chosenBallot());
        Assertions.assertEquals(expected.chosen(), actual.chosen());
    }

    @Test
    void aNewDiskGetsAnIdentityThatLasts() throws StoreException {
        AcceptorStore first = open();
        Assertions.assertTrue(first.createdNow());
        files.losePower(MemoryFiles.Unsynced.GONE, random);
        AcceptorStore again = open();
        Assertions.assertFalse(again.createdNow());
        assertSame(first.recovered(), again.recovered());
        Assertions.assertNotEquals(first.recovered().identity(),
            AcceptorStore.open(DIRECTORY, new MemoryFiles(), ROOM).recovered().identity());
    }

    @Test
    void aStateIsThereAfterAKill() throws StoreException {
        AcceptorStore store = open();
        DurableState last = null;
        for (int round = 1; round < 20; round++) {
            last = state(store.recovered().identity(), round, 2000);
            store.save(last);
            store.saveNumber("fence", round);
        }
        AcceptorStore again = open();
        assertSame(last, again.recovered());
        Assertions.assertEquals(Map.of("fence", 19L), again.numbers());
    }

    @Test
    void aPromiseDoesNotWriteTheValueAgain() throws StoreException {
        AcceptorStore store = open();
        DurableState large = state(store.recovered().identity(), 5, LARGE);
        store.save(large);
        long before = files.longest();
        store.save(new DurableState(large.identity(), new Ballot(6, "p"), large.accepted(), large.value(),
            large.chosenBallot(), large.chosen()));
        Assertions.assertTrue(files.longest() - before < LARGE / 4, "grew by " + (files.longest() - before));
    }

    @Test
    void whatWasSavedOutlivesEveryLossOfPower() throws StoreException {
        for (int trial = 0; trial < 400; trial++) {
            loseWhileSaving(trial);
        }
    }

    /** Some saves succeed, then power goes in the middle of the next: what lasts is the last or the next. */
    private void loseWhileSaving(int trial) throws StoreException {
        MemoryFiles disk = new MemoryFiles();
        SplittableRandom drawn = new SplittableRandom(trial);
        long room = trial % 2 == 0 ? ROOM : 200_000;
        AcceptorStore store = AcceptorStore.open(DIRECTORY, disk, room);
        DurableState saved = store.recovered();
        int saves = drawn.nextInt(30);
        for (int round = 1; round <= saves; round++) {
            saved = state(saved.identity(), round, drawn.nextInt(6000));
            store.save(saved);
        }
        DurableState next = state(saved.identity(), saves + 1, 3000);
        disk.failAfterWrites(drawn.nextInt(6));
        try {
            store.save(next);
            saved = next;
        } catch (StoreException refused) {
            // As meant: the power goes before the end.
        }
        disk.losePower(MemoryFiles.Unsynced.DRAWN, drawn);
        DurableState found = AcceptorStore.open(DIRECTORY, disk, room).recovered();
        boolean isNext = found.promised().equals(next.promised());
        assertSame(isNext ? next : saved, found);
    }

    @Test
    void aFirstOpeningCutShortIsBegunAnew() throws StoreException {
        for (int writes = 0; writes < 8; writes++) {
            MemoryFiles disk = new MemoryFiles();
            disk.failAfterWrites(writes);
            boolean opened = true;
            try {
                AcceptorStore.open(DIRECTORY, disk, ROOM);
            } catch (StoreException refused) {
                opened = false;
            }
            disk.losePower(MemoryFiles.Unsynced.DRAWN, random);
            Assertions.assertEquals(!opened, AcceptorStore.open(DIRECTORY, disk, ROOM).createdNow());
        }
    }

    @Test
    void aFullDiskRefusesAndLaterSavesAgain() throws StoreException {
        AcceptorStore store = open();
        String identity = store.recovered().identity();
        store.save(state(identity, 1, 100));
        files.fill(true);
        Assertions.assertThrows(StoreException.class, () -> store.save(state(identity, 2, 100)));
        Assertions.assertThrows(StoreException.class, () -> store.save(state(identity, 3, 100)));
        assertSame(state(identity, 1, 100), open().recovered());
        files.fill(false);
        store.save(state(identity, 4, 100));
        assertSame(state(identity, 4, 100), open().recovered());
    }

    @Test
    void afterAFailedSyncNothingRestsOnWhatWasWritten() throws StoreException {
        AcceptorStore store = open();
        String identity = store.recovered().identity();
        store.save(state(identity, 1, 100));
        files.failSyncs(true);
        Assertions.assertThrows(StoreException.class, () -> store.save(state(identity, 2, 100)));
        files.failSyncs(false);
        store.save(state(identity, 3, 100));
        files.losePower(MemoryFiles.Unsynced.GONE, random);
        assertSame(state(identity, 3, 100), open().recovered());
    }

    @Test
    void theFilesStayWithinTheirRoom() throws StoreException {
        long room = 8L << 20;
        AcceptorStore store = AcceptorStore.open(DIRECTORY, files, room);
        for (int round = 1; round < 400; round++) {
            store.save(state(store.recovered().identity(), round, LARGE));
        }
        Assertions.assertTrue(files.longest() < room / 2, "took " + files.longest());
        assertSame(state(store.recovered().identity(), 399, LARGE), open().recovered());
    }

    @Test
    void aStoreBeyondRepairIsToldAndKept() throws StoreException {
        AcceptorStore store = open();
        store.save(state(store.recovered().identity(), 1, 100));
        files.cut(FILE, 100);
        Assertions.assertThrows(StoreException.class, this::open);
        Assertions.assertTrue(files.exists(FILE));
    }

    @Test
    void aRealDirectoryHoldsAState(@TempDir Path directory) throws StoreException {
        AcceptorStore store = AcceptorStore.open(directory, new DiskFiles(), ROOM);
        DurableState saved = state(store.recovered().identity(), 1, LARGE);
        store.save(saved);
        store.close();
        assertSame(saved, AcceptorStore.open(directory, new DiskFiles(), ROOM).recovered());
        Assertions.assertTrue(Files.exists(directory.resolve("acceptor.mv")));
    }
}
