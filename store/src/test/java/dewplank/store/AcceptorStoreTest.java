package dewplank.store;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import dewplank.register.Ballot;
import dewplank.register.DurableState;
import dewplank.register.RegisterValue;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class AcceptorStoreTest {
    private static final Path DIRECTORY = Path.of("data");
    private static final Path FILE = DIRECTORY.resolve("acceptor.mv");
    private static final Path NEXT_FILE = DIRECTORY.resolve("acceptor.mv.next");
    private static final long DISK_QUOTA_BYTES = 64L << 20;
    private static final int LARGE_VALUE_BYTES = 120_000;
    private static final int LARGEST_VALUE_BYTES = 200_000;

    /** Limit of the total size: the largest file, one save beyond it, and a rewritten file; a state has two values. */
    private static final long MAX_FILES_BYTES = (8L << 20) + 5 * LARGEST_VALUE_BYTES;

    private static final int LARGE_SAVES = 2000;

    /** Of every 250 saves, 20 fail on a full disk, and the last of every 500 is torn. */
    private static final int EXPECTED_FAILED_SAVES = LARGE_SAVES / 250 * 20 + LARGE_SAVES / 500;

    private final MemoryFiles files = new MemoryFiles();
    private final SplittableRandom random = new SplittableRandom(7);

    private AcceptorStore open() throws StoreException {
        return AcceptorStore.open(DIRECTORY, files, DISK_QUOTA_BYTES);
    }

    private static RegisterValue value(long revision, int length) {
        byte[] payload = new byte[length];
        new SplittableRandom(revision).nextBytes(payload);
        List<AcceptorId> members = List.of(new AcceptorId("10.0.0.1:1", "a"), new AcceptorId("10.0.0.2:1", "b"));
        return new RegisterValue(new AcceptorSet(revision, members, members), revision, payload);
    }

    /** A state in which the newest value is accepted and the previous one is chosen. */
    private static DurableState state(String identity, long round, int length) {
        Ballot ballot = new Ballot(round, "p");
        return new DurableState(
                identity,
                ballot,
                ballot,
                value(round, length),
                new Ballot(round - 1, "p"),
                round > 1 ? value(round - 1, length) : null);
    }

    private static void assertSame(DurableState expected, DurableState actual) {
        Assertions.assertEquals(expected.identity(), actual.identity());
        Assertions.assertEquals(expected.promisedBallot(), actual.promisedBallot());
        Assertions.assertEquals(expected.acceptedBallot(), actual.acceptedBallot());
        Assertions.assertEquals(expected.acceptedValue(), actual.acceptedValue());
        Assertions.assertEquals(expected.chosenBallot(), actual.chosenBallot());
        Assertions.assertEquals(expected.chosenValue(), actual.chosenValue());
    }

    @Test
    void aNewDiskGetsADurableIdentity() throws StoreException {
        AcceptorStore first = open();
        Assertions.assertTrue(first.isNew());
        files.losePower(MemoryFiles.Unsynced.LOST, random);
        AcceptorStore reopened = open();
        Assertions.assertFalse(reopened.isNew());
        assertSame(first.recovered(), reopened.recovered());
        Assertions.assertNotEquals(
                first.recovered().identity(),
                AcceptorStore.open(DIRECTORY, new MemoryFiles(), DISK_QUOTA_BYTES)
                        .recovered()
                        .identity());
    }

    @Test
    void recoversTheStateAfterAKill() throws StoreException {
        AcceptorStore store = open();
        DurableState last = null;
        for (int round = 1; round < 20; round++) {
            last = state(store.recovered().identity(), round, 2000);
            store.save(last);
            store.saveFencingToken("fence", round);
        }
        AcceptorStore reopened = open();
        assertSame(last, reopened.recovered());
        Assertions.assertEquals(Map.of("fence", 19L), reopened.fencingTokens());
    }

    @Test
    void aPromiseDoesNotRewriteTheValue() throws StoreException {
        AcceptorStore store = open();
        DurableState large = state(store.recovered().identity(), 5, LARGE_VALUE_BYTES);
        store.save(large);
        long before = files.maxTotalBytes();
        store.save(new DurableState(
                large.identity(),
                new Ballot(6, "p"),
                large.acceptedBallot(),
                large.acceptedValue(),
                large.chosenBallot(),
                large.chosenValue()));
        Assertions.assertTrue(
                files.maxTotalBytes() - before < LARGE_VALUE_BYTES / 4, "grew by " + (files.maxTotalBytes() - before));
    }

    @Test
    void savedStatesSurvivePowerLossDuringTheNextSave() throws StoreException {
        for (int trial = 0; trial < 400; trial++) {
            losePowerDuringASave(trial);
        }
    }

    /** Loses power during a save that follows successful ones; the last saved state or the next one is recovered. */
    private void losePowerDuringASave(int trial) throws StoreException {
        MemoryFiles disk = new MemoryFiles();
        SplittableRandom trialRandom = new SplittableRandom(trial);
        long quotaBytes = trial % 2 == 0 ? DISK_QUOTA_BYTES : 200_000;
        AcceptorStore store = AcceptorStore.open(DIRECTORY, disk, quotaBytes);
        DurableState saved = store.recovered();
        int saves = trialRandom.nextInt(30);
        for (int round = 1; round <= saves; round++) {
            saved = state(saved.identity(), round, trialRandom.nextInt(6000));
            store.save(saved);
        }
        DurableState next = state(saved.identity(), saves + 1, 3000);
        disk.failAfterWrites(trialRandom.nextInt(6));
        try {
            store.save(next);
            saved = next;
        } catch (StoreException expected) {
            // Expected: the power loss interrupts the save.
        }
        disk.losePower(MemoryFiles.Unsynced.RANDOM, trialRandom);
        DurableState found = AcceptorStore.open(DIRECTORY, disk, quotaBytes).recovered();
        boolean isNext = found.promisedBallot().equals(next.promisedBallot());
        assertSame(isNext ? next : saved, found);
    }

    @Test
    void anInterruptedCreationIsRepeated() throws StoreException {
        for (int writes = 0; writes < 8; writes++) {
            MemoryFiles disk = new MemoryFiles();
            boolean opened = opensDespiteFailureAfter(disk, writes);
            disk.losePower(MemoryFiles.Unsynced.LOST, random);
            Assertions.assertEquals(
                    !opened,
                    AcceptorStore.open(DIRECTORY, disk, DISK_QUOTA_BYTES).isNew());
        }
    }

    /** The file may have been renamed without a sync. It is then complete, and its identity has never voted. */
    @Test
    void anInterruptedCreationMayHaveBeenCompleted() throws StoreException {
        for (int trial = 0; trial < 80; trial++) {
            MemoryFiles disk = new MemoryFiles();
            boolean opened = opensDespiteFailureAfter(disk, trial % 8);
            disk.losePower(MemoryFiles.Unsynced.RANDOM, random);
            AcceptorStore reopened = AcceptorStore.open(DIRECTORY, disk, DISK_QUOTA_BYTES);
            Assertions.assertFalse(opened && reopened.isNew());
            assertSame(DurableState.fresh(reopened.recovered().identity()), reopened.recovered());
        }
    }

    private static boolean opensDespiteFailureAfter(MemoryFiles disk, int writes) {
        disk.failAfterWrites(writes);
        try {
            AcceptorStore.open(DIRECTORY, disk, DISK_QUOTA_BYTES);
            return true;
        } catch (StoreException expected) {
            return false;
        }
    }

    @Test
    void savesAgainAfterTheDiskWasFull() throws StoreException {
        AcceptorStore store = open();
        String identity = store.recovered().identity();
        store.save(state(identity, 1, 100));
        files.setFull(true);
        Assertions.assertThrows(StoreException.class, () -> store.save(state(identity, 2, 100)));
        Assertions.assertThrows(StoreException.class, () -> store.save(state(identity, 3, 100)));
        assertSame(state(identity, 1, 100), open().recovered());
        files.setFull(false);
        store.save(state(identity, 4, 100));
        assertSame(state(identity, 4, 100), open().recovered());
    }

    @Test
    void rewritesTheFileAfterAFailedSync() throws StoreException {
        AcceptorStore store = open();
        String identity = store.recovered().identity();
        store.save(state(identity, 1, 100));
        files.failSyncs(true);
        Assertions.assertThrows(StoreException.class, () -> store.save(state(identity, 2, 100)));
        files.failSyncs(false);
        store.save(state(identity, 3, 100));
        files.losePower(MemoryFiles.Unsynced.LOST, random);
        assertSame(state(identity, 3, 100), open().recovered());
    }

    /**
     * A process that was killed during a save recovers data that the operating system still caches. It may reply with
     * that data immediately, so a later power loss must not undo it.
     */
    @Test
    void stateRecoveredAfterAKillSurvivesAPowerLoss() throws StoreException {
        for (int trial = 0; trial < 400; trial++) {
            MemoryFiles disk = new MemoryFiles();
            SplittableRandom trialRandom = new SplittableRandom(trial);
            long quotaBytes = trial % 2 == 0 ? DISK_QUOTA_BYTES : 200_000;
            AcceptorStore store = AcceptorStore.open(DIRECTORY, disk, quotaBytes);
            String identity = store.recovered().identity();
            for (int round = 1; round < 20; round++) {
                store.save(state(identity, round, trialRandom.nextInt(6000)));
            }
            failSaves(store, disk, trialRandom);
            disk.recoverWrites();
            DurableState found = AcceptorStore.open(DIRECTORY, disk, quotaBytes).recovered();
            disk.losePower(trial % 3 == 0 ? MemoryFiles.Unsynced.LOST : MemoryFiles.Unsynced.RANDOM, trialRandom);
            assertSame(found, AcceptorStore.open(DIRECTORY, disk, quotaBytes).recovered());
        }
    }

    /** Makes a save fail at any of its writes or syncs; a second save may fail during the rewrite. */
    private static void failSaves(AcceptorStore store, MemoryFiles disk, SplittableRandom trialRandom) {
        for (int failures = trialRandom.nextInt(1, 3); failures > 0; failures--) {
            if (trialRandom.nextBoolean()) {
                disk.failSyncs(true);
            } else {
                disk.failAfterWrites(trialRandom.nextInt(6));
            }
            Assertions.assertThrows(StoreException.class, () -> {
                for (int round = 21; round < 30; round++) {
                    store.save(state(store.recovered().identity(), round, 3000));
                }
            });
            disk.recoverWrites();
        }
    }

    /** A failed rewrite may leave an unreadable file, which the next rewrite replaces. */
    @Test
    void aRewriteStartsOverAfterAFailedOne() throws StoreException {
        AcceptorStore store = open();
        String identity = store.recovered().identity();
        store.save(state(identity, 1, 100));
        store.close();
        files.failAfterWrites(2);
        Assertions.assertThrows(StoreException.class, () -> store.save(state(identity, 2, 100)));
        files.recoverWrites();
        files.truncate(NEXT_FILE, 100);
        store.save(state(identity, 3, 100));
        assertSame(state(identity, 3, 100), open().recovered());
        Assertions.assertEquals(1, files.fileCount());
    }

    @Test
    void filesDoNotExceedTheirQuota() throws StoreException {
        long quotaBytes = 8L << 20;
        AcceptorStore store = AcceptorStore.open(DIRECTORY, files, quotaBytes);
        for (int round = 1; round < 400; round++) {
            store.save(state(store.recovered().identity(), round, LARGE_VALUE_BYTES));
        }
        Assertions.assertTrue(files.maxTotalBytes() < quotaBytes / 2, "used " + files.maxTotalBytes());
        assertSame(state(store.recovered().identity(), 399, LARGE_VALUE_BYTES), open().recovered());
    }

    /** Saves as many changes as occur in days, with a value for hundreds of routes and all simulated disk faults. */
    @Test
    void thousandsOfLargeSavesDoNotExceedTheFileLimit() throws StoreException {
        AcceptorStore store = open();
        String identity = store.recovered().identity();
        DurableState saved = store.recovered();
        int failedSaves = 0;
        for (int round = 1; round <= LARGE_SAVES; round++) {
            DurableState next = state(identity, round, LARGEST_VALUE_BYTES);
            injectFault(round);
            try {
                store.save(next);
                saved = next;
            } catch (StoreException full) {
                failedSaves++;
            }
            if (round % 250 == 0) {
                clearFaults(round);
                store = open();
                boolean isNext = store.recovered().promisedBallot().equals(next.promisedBallot());
                assertSame(isNext ? next : saved, store.recovered());
                saved = store.recovered();
            }
        }
        Assertions.assertEquals(EXPECTED_FAILED_SAVES, failedSaves);
        Assertions.assertTrue(files.maxTotalBytes() < MAX_FILES_BYTES, "used " + files.maxTotalBytes());
        System.out.println(LARGE_SAVES + " saves of " + LARGEST_VALUE_BYTES + " bytes used " + files.maxTotalBytes()
                + " bytes at most");
    }

    /** The disk is full for 20 of every 250 saves, and the last save of every 500 is torn by a power loss. */
    private void injectFault(int round) {
        int within = round % 250;
        if (within == 100 || within == 120) {
            files.setFull(within == 100);
        } else if (within == 0 && round % 500 == 0) {
            files.failAfterWrites(random.nextInt(2));
        }
    }

    private void clearFaults(int round) {
        if (round % 500 == 0) {
            files.losePower(MemoryFiles.Unsynced.RANDOM, random);
        } else {
            files.recoverWrites();
        }
    }

    @Test
    void reportsADamagedStoreWithoutDeletingIt() throws StoreException {
        AcceptorStore store = open();
        store.save(state(store.recovered().identity(), 1, 100));
        files.truncate(FILE, 100);
        Assertions.assertThrows(StoreException.class, this::open);
        Assertions.assertTrue(files.exists(FILE));
    }

    @Test
    void savesToARealDirectory(@TempDir Path directory) throws StoreException {
        AcceptorStore store = AcceptorStore.open(directory, new DiskFiles(), DISK_QUOTA_BYTES);
        DurableState saved = state(store.recovered().identity(), 1, LARGE_VALUE_BYTES);
        store.save(saved);
        store.close();
        assertSame(
                saved,
                AcceptorStore.open(directory, new DiskFiles(), DISK_QUOTA_BYTES).recovered());
        Assertions.assertTrue(Files.exists(directory.resolve("acceptor.mv")));
    }
}
