package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.configuration.ConfigurationDocument;
import dewplank.message.Endpoint;
import dewplank.message.EndpointList;
import dewplank.message.EndpointListVersion;
import dewplank.message.FleetMessages;
import dewplank.register.AcceptorId;
import dewplank.register.DurableState;
import dewplank.register.RegisterValue;
import dewplank.settings.NodeSettings;
import dewplank.store.DiskExecutor;
import dewplank.store.DiskFiles;
import dewplank.store.DiskResult;
import dewplank.store.StoreException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Opens the data directory that an earlier release wrote for an initial acceptor, after one change. */
class GoldenDiskTest {
    private static final List<String> FILES = List.of("acceptor.mv", "founders", "servers");
    private static final List<String> FOUNDERS = List.of("10.0.0.1:7600", "10.0.0.2:7600", "10.0.0.3:7600");
    private static final List<String> LATER_SEEDS = List.of("10.0.0.8:7600", "10.0.0.9:7600");
    private static final long DISK_BYTES = 64L << 20;

    @TempDir
    private Path directory;

    /** Runs each task immediately, on the caller's thread. */
    private static final class ImmediateDisk implements DiskExecutor {
        @Override
        public void submit(Task task, Consumer<DiskResult> completion) {
            DiskResult result = DiskResult.Succeeded.INSTANCE;
            try {
                task.run();
            } catch (StoreException e) {
                result = new DiskResult.Failed(e);
            }
            completion.accept(result);
        }

        @Override
        public void close() {}
    }

    private static byte[] resource(String name) throws IOException {
        try (InputStream in = GoldenDiskTest.class.getResourceAsStream("/golden/" + name)) {
            return in.readAllBytes();
        }
    }

    /** Copies the golden directory, because a store writes to its file when it opens it. */
    private void copyGoldenFiles() throws IOException {
        for (String file : FILES) {
            Files.write(directory.resolve(file), resource("data/" + file));
        }
    }

    private DiskStorage open(List<String> seeds) throws StoreException {
        NodeSettings settings = new NodeSettings(
                "node-1",
                "10.0.0.1",
                "zone-a",
                null,
                null,
                null,
                new int[] {7600, 7610},
                List.of(),
                true,
                true,
                directory,
                new NodeSettings.Resources(100, DISK_BYTES),
                null,
                null);
        return new DiskStorage(
                settings, "founder@10.0.0.1:7600", seeds, new DiskFiles(), new ImmediateDisk(), FleetMessages.codec());
    }

    @Test
    void readsTheRegisterState() throws IOException, StoreException {
        copyGoldenFiles();
        DiskStorage storage = open(LATER_SEEDS);
        assertFalse(storage.firstStart());
        assertEquals("founder@10.0.0.1:7600", storage.identity());
        DurableState state = storage.recovered();
        assertEquals("4/founder@10.0.0.1:7600#1", state.promisedBallot().toString());
        assertEquals("4/founder@10.0.0.1:7600#1", state.acceptedBallot().toString());
        assertEquals("4/founder@10.0.0.1:7600#1", state.chosenBallot().toString());
        assertIsGoldenValue(state.acceptedValue());
        assertIsGoldenValue(state.chosenValue());
        assertEquals(Map.of("list", 2L), storage.fencingTokens());
        storage.close();
    }

    private static void assertIsGoldenValue(RegisterValue value) throws IOException {
        assertEquals(0, value.acceptors().generation());
        assertEquals(founders(), value.acceptors().members());
        assertEquals(List.of(), value.acceptors().joining());
        assertEquals(3, value.revision());
        assertArrayEquals(resource("compressed.payload"), value.payload());
        ConfigurationDocument document = ConfigurationDocument.decode(value.payload());
        assertEquals(12, document.version());
        assertEquals(40, document.configuration().routes().size());
        assertEquals("r-39", document.configuration().routes().get(39).name());
        assertEquals(
                List.of("huvo", "wuno"),
                List.copyOf(document.configuration().services().keySet()));
    }

    private static List<AcceptorId> founders() {
        return List.of(
                new AcceptorId("10.0.0.1:7600", "founder@10.0.0.1:7600"),
                new AcceptorId("10.0.0.2:7600", "founder@10.0.0.2:7600"),
                new AcceptorId("10.0.0.3:7600", "founder@10.0.0.3:7600"));
    }

    @Test
    void keepsTheStoredFoundersWhenTheSettingsNameOtherSeeds() throws IOException, StoreException {
        copyGoldenFiles();
        DiskStorage storage = open(LATER_SEEDS);
        assertEquals(FOUNDERS, storage.founders());
        assertEquals(founders(), Bootstrap.initialAcceptors(storage, "10.0.0.1:7600"));
        assertEquals(List.of(), Bootstrap.initialAcceptors(storage, "10.0.0.2:7600"));
        storage.close();
    }

    @Test
    void readsTheEndpointList() throws IOException, StoreException {
        copyGoldenFiles();
        DiskStorage storage = open(LATER_SEEDS);
        EndpointList list = storage.savedList().orElseThrow();
        assertEquals(2, list.version.fencingToken);
        assertEquals(17, list.version.revision);
        assertEquals(2, list.endpoints.size());
        Endpoint plain = list.endpoints.get(0);
        assertEquals("i-1", plain.instanceId);
        assertEquals("wuno", plain.service);
        assertEquals("10.1.0.1:8000", plain.address);
        assertNull(plain.zone);
        assertEquals(0, plain.slotCount);
        assertFalse(plain.draining);
        assertEquals(0, plain.warmupRemainingMs);
        assertNull(plain.stage);
        Endpoint prefill = list.endpoints.get(1);
        assertEquals("i-2", prefill.instanceId);
        assertEquals("huvo", prefill.service);
        assertEquals("10.1.0.2:8001", prefill.address);
        assertEquals("zone-a", prefill.zone);
        assertEquals(64, prefill.slotCount);
        assertTrue(prefill.draining);
        assertEquals(1_234.5, prefill.warmupRemainingMs);
        assertEquals("prefill", prefill.stage);
        storage.close();
    }

    /** The current release creates the same files on an empty disk, with the same bytes except in acceptor.mv. */
    @Test
    void createsTheSameFilesOnAnEmptyDisk() throws IOException, StoreException {
        DiskStorage storage = open(FOUNDERS);
        assertTrue(storage.firstStart());
        assertEquals("founder@10.0.0.1:7600", storage.identity());
        storage.saveList(new EndpointList(
                new EndpointListVersion(2, 17),
                List.of(
                        new Endpoint("i-1", "wuno", "10.1.0.1:8000", null, 0, false, 0, null),
                        new Endpoint("i-2", "huvo", "10.1.0.2:8001", "zone-a", 64, true, 1_234.5, "prefill"))));
        storage.close();
        TreeSet<String> names = new TreeSet<>();
        try (Stream<Path> files = Files.list(directory)) {
            files.forEach(file -> names.add(file.getFileName().toString()));
        }
        assertTrue(names.remove("lock"));
        assertEquals(0, Files.size(directory.resolve("lock")));
        assertEquals(FILES, List.copyOf(names));
        assertArrayEquals(resource("data/founders"), Files.readAllBytes(directory.resolve("founders")));
        assertArrayEquals(resource("data/servers"), Files.readAllBytes(directory.resolve("servers")));
    }
}
