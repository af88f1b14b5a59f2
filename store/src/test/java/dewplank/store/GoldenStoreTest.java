package dewplank.store;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import dewplank.register.Ballot;
import dewplank.register.DurableState;
import dewplank.register.RegisterValue;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reads stores that an earlier release wrote, and checks each field. */
class GoldenStoreTest {
    private static final long DISK_BYTES = 64L << 20;
    private static final String STORE = "acceptor.mv";
    private static final String PLAIN_PAYLOAD = "plain-format-2.payload";
    private static final String COMPRESSED_PAYLOAD = "compressed.payload";

    @TempDir
    private Path directory;

    private static byte[] resource(String name) throws IOException {
        try (InputStream in = GoldenStoreTest.class.getResourceAsStream("/golden/" + name)) {
            return in.readAllBytes();
        }
    }

    /** Copies the stored file first, since a store writes to its file as soon as it opens it. */
    private AcceptorStore open(String disk) throws IOException, StoreException {
        Files.write(directory.resolve(STORE), resource(disk + "/" + STORE));
        return reopen();
    }

    private AcceptorStore reopen() throws StoreException {
        AcceptorStore store = AcceptorStore.open(directory, new DiskFiles(), DISK_BYTES);
        assertFalse(store.isNew());
        return store;
    }

    private static void assertIsBallot(long round, String proposer, Ballot ballot) {
        assertEquals(round, ballot.round());
        assertEquals(proposer, ballot.proposer());
    }

    private static void assertAcceptors(List<String> expected, List<AcceptorId> acceptors) {
        assertEquals(
                expected,
                acceptors.stream().map(a -> a.address() + " " + a.identity()).toList());
    }

    @Test
    void readsANewStore() throws IOException, StoreException {
        try (AcceptorStore store = open("fresh")) {
            DurableState state = store.recovered();
            assertEquals("founder@10.0.0.1:7600", state.identity());
            assertIsBallot(0, "", state.promisedBallot());
            assertIsBallot(0, "", state.acceptedBallot());
            assertNull(state.acceptedValue());
            assertIsBallot(0, "", state.chosenBallot());
            assertNull(state.chosenValue());
            assertEquals(Map.of(), store.fencingTokens());
        }
    }

    @Test
    void readsAnAcceptedValueWithoutPayload() throws IOException, StoreException {
        try (AcceptorStore store = open("without-payload")) {
            DurableState state = store.recovered();
            assertEquals("77zzq", state.identity());
            assertIsBallot(3, "10.0.0.1#a", state.promisedBallot());
            assertIsBallot(2, "10.0.0.2#b", state.acceptedBallot());
            assertEquals(0, state.acceptedValue().acceptors().generation());
            assertAcceptors(
                    List.of("10.0.0.1:7600 founder@10.0.0.1:7600", "10.0.0.2:7600 3kq0z", "10.0.0.3:7600 b91xy"),
                    state.acceptedValue().acceptors().members());
            assertAcceptors(List.of(), state.acceptedValue().acceptors().joining());
            assertEquals(1, state.acceptedValue().revision());
            assertNull(state.acceptedValue().payload());
            assertIsBallot(0, "", state.chosenBallot());
            assertNull(state.chosenValue());
            assertEquals(Map.of(), store.fencingTokens());
        }
    }

    @Test
    void readsAChosenValueWithAnUncompressedPayload() throws IOException, StoreException {
        try (AcceptorStore store = open("plain")) {
            DurableState state = store.recovered();
            assertEquals("3kq0z", state.identity());
            assertIsBallot(300, "3kq0z#a7", state.promisedBallot());
            assertIsBallot(12, "b91xy#05", state.acceptedBallot());
            assertIsValueBeforeReconfiguration(state.acceptedValue());
            assertIsBallot(12, "b91xy#05", state.chosenBallot());
            assertIsValueBeforeReconfiguration(state.chosenValue());
            assertEquals(Map.of("list", 6L), store.fencingTokens());
        }
    }

    private static void assertIsValueBeforeReconfiguration(RegisterValue value) throws IOException {
        assertEquals(6, value.acceptors().generation());
        assertAcceptors(
                List.of("10.0.0.1:7600 founder@10.0.0.1:7600", "10.0.0.2:7600 3kq0z", "10.0.0.3:7600 b91xy"),
                value.acceptors().members());
        assertAcceptors(List.of(), value.acceptors().joining());
        assertEquals(40, value.revision());
        assertArrayEquals(resource(PLAIN_PAYLOAD), value.payload());
    }

    @Test
    void readsAcceptorsUnderReconfigurationWithACompressedPayload() throws IOException, StoreException {
        try (AcceptorStore store = open("joint-compressed")) {
            assertIsUnderReconfiguration(store.recovered());
            assertEquals(Map.of("list", 9L, "other", 1L << 40), store.fencingTokens());
        }
    }

    private static void assertIsUnderReconfiguration(DurableState state) throws IOException {
        assertEquals("b91xy", state.identity());
        assertIsBallot(301, "founder@10.0.0.1:7600#ff", state.promisedBallot());
        assertIsBallot(300, "3kq0z#a7", state.acceptedBallot());
        assertEquals(7, state.acceptedValue().acceptors().generation());
        assertAcceptors(
                List.of("10.0.0.1:7600 founder@10.0.0.1:7600", "10.0.0.2:7600 3kq0z", "10.0.0.3:7600 b91xy"),
                state.acceptedValue().acceptors().members());
        assertAcceptors(
                List.of("10.0.0.2:7600 3kq0z", "10.0.0.3:7600 b91xy", "10.0.0.4:7600 77zzq"),
                state.acceptedValue().acceptors().joining());
        assertEquals(41, state.acceptedValue().revision());
        assertArrayEquals(resource(COMPRESSED_PAYLOAD), state.acceptedValue().payload());
        assertIsBallot(12, "b91xy#05", state.chosenBallot());
        assertIsValueBeforeReconfiguration(state.chosenValue());
    }

    /** A store of an earlier release can be updated. */
    @Test
    void writesToAStoreOfAnEarlierRelease() throws IOException, StoreException {
        DurableState next;
        try (AcceptorStore store = open("joint-compressed")) {
            DurableState found = store.recovered();
            next = new DurableState(
                    found.identity(),
                    new Ballot(302, "77zzq#1"),
                    found.acceptedBallot(),
                    found.acceptedValue(),
                    found.acceptedBallot(),
                    found.acceptedValue());
            store.save(next);
            store.saveFencingToken("list", 10);
        }
        try (AcceptorStore store = reopen()) {
            assertEquals(next.identity(), store.recovered().identity());
            assertEquals(next.promisedBallot(), store.recovered().promisedBallot());
            assertEquals(next.acceptedBallot(), store.recovered().acceptedBallot());
            assertEquals(next.acceptedValue(), store.recovered().acceptedValue());
            assertEquals(next.chosenBallot(), store.recovered().chosenBallot());
            assertEquals(next.chosenValue(), store.recovered().chosenValue());
            assertArrayEquals(
                    resource(COMPRESSED_PAYLOAD),
                    store.recovered().chosenValue().payload());
            assertEquals(Map.of("list", 10L, "other", 1L << 40), store.fencingTokens());
        }
    }

    // ---- bytes ----------------------------------------------------------------------------------------

    @Test
    void encodesValuesInTheSameFormat() throws IOException {
        RegisterValue value = new RegisterValue(
                new AcceptorSet(
                        7,
                        List.of(new AcceptorId("10.0.0.1:7600", "a")),
                        List.of(new AcceptorId("10.0.0.2:7600", "b"), new AcceptorId("10.0.0.3:7600", "c"))),
                41,
                new byte[] {64, 0, -1});
        String expected = "01" // version
                + "0000000000000007"
                + "0001" + "000d31302e302e302e313a37363030" + "000161"
                + "0002" + "000d31302e302e302e323a37363030" + "000162" + "000d31302e302e302e333a37363030" + "000163"
                + "0000000000000029"
                + "00000003" + "4000ff";
        assertEquals(expected, HexFormat.of().formatHex(StateCodec.encode(value)));
        assertEquals(value, StateCodec.decodeValue(HexFormat.of().parseHex(expected)));
        RegisterValue withoutPayload = new RegisterValue(AcceptorSet.of(List.of()), 2, null);
        String withoutBytes = "01" + "0000000000000000" + "0000" + "0000" + "0000000000000002" + "ffffffff";
        assertEquals(withoutBytes, HexFormat.of().formatHex(StateCodec.encode(withoutPayload)));
        assertEquals(withoutPayload, StateCodec.decodeValue(HexFormat.of().parseHex(withoutBytes)));
    }

    @Test
    void encodesBallotsAndKeysInTheSameFormat() throws IOException {
        StateCodec.StateHeader header =
                new StateCodec.StateHeader(new Ballot(3, "p"), new Ballot(2, "q"), 5, new Ballot(1, "r"), 4);
        String expected = "01" // version
                + "0000000000000003" + "000170"
                + "0000000000000002" + "000171"
                + "0000000000000005"
                + "0000000000000001" + "000172"
                + "0000000000000004";
        assertEquals(expected, HexFormat.of().formatHex(StateCodec.encode(header)));
        assertEquals(header, StateCodec.decodeHeader(HexFormat.of().parseHex(expected)));
    }

    /** A checksum of eight bytes, then the addresses, one per line. */
    @Test
    void storesBootstrapSeedsInTheSameFormat() throws IOException, StoreException {
        List<String> addresses = List.of("10.0.0.1:7600", "10.0.0.2:7600");
        byte[] expected = HexFormat.of()
                .parseHex("000000004f58cc26" + "31302e302e302e313a37363030" + "0a" + "31302e302e302e323a37363030");
        assertEquals(addresses, new BootstrapSeeds(new DiskFiles(), directory).loadOrStore(addresses, true));
        assertArrayEquals(expected, Files.readAllBytes(directory.resolve("founders")));
        Files.write(directory.resolve("founders"), expected);
        assertEquals(
                addresses, new BootstrapSeeds(new DiskFiles(), directory).loadOrStore(List.of("10.0.0.9:1"), false));
    }
}
