package dewplank.fleet.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.fleet.FleetBounds;
import dewplank.emulator.fleet.FleetProcess;
import dewplank.fleet.FleetHarness;
import org.junit.jupiter.api.Test;

/** Review case 2: the last response of a connection was cut off a second after its start. */
class LongResponseAtTerminationTest {
    private static final int RESPONSE_BYTES = 8_000_000;
    private static final int BYTES_PER_S = 3_000_000;
    /** After SIGTERM new connections are accepted for longer than this. */
    private static final int REQUEST_DELAY_MS = 1_000;
    /** The response begins after the data plane has stopped to accept connections. */
    private static final int SERVER_DELAY_MS = 1_800;

    @Test
    void aLongResponseThatBeginsLateAfterSigtermIsCompleted() throws Exception {
        FleetHarness.run(3, 1, harness -> {
            FleetProcess process = harness.fleet.data().get(0);
            try (RawServer server = LongService.start(harness, RESPONSE_BYTES, true, SERVER_DELAY_MS)) {
                process.terminate();
                Thread.sleep(REQUEST_DELAY_MS);
                try (RawClient client = new RawClient(process.machine().front())) {
                    client.post(LongService.ROUTE.host(), LongService.ROUTE.prefix() + "x", "last", 100);
                    assertEquals(RESPONSE_BYTES, client.readSlowly(RESPONSE_BYTES, BYTES_PER_S));
                }
                assertTrue(server.isListening());
            }
            assertTrue(process.awaitEnd(FleetBounds.GRACE_S));
        });
    }
}
