package dewplank.fleet;

import static dewplank.fleet.FleetHarness.CHAT;
import static dewplank.fleet.FleetHarness.ONE_OF_EACH_KIND;
import static dewplank.fleet.FleetHarness.READ;
import static dewplank.fleet.FleetHarness.WRITE;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.fleet.ClientAttempt;
import dewplank.emulator.fleet.ClientRequest;
import dewplank.emulator.fleet.FleetBounds;
import dewplank.emulator.fleet.FleetEvent.StreamEventSent;
import dewplank.emulator.fleet.FleetProcess;
import dewplank.emulator.fleet.Futures;
import dewplank.emulator.fleet.ModelServer;
import org.junit.jupiter.api.Test;

/** Tests data planes that are killed and restarted, or shut down gracefully on SIGTERM. */
class DataPlaneRestartTest {
    private static final int PAUSE_AFTER_EVENTS = 3;
    private static final double MS_PER_S = 1_000;

    @Test
    void becomesReadyAndServesAfterARestart() throws Exception {
        FleetHarness.run(1, 2, harness -> {
            FleetProcess process = harness.fleet.data().get(0);
            process.kill();
            for (ClientRequest request : ONE_OF_EACH_KIND) {
                harness.assertServed(1, request);
            }
            process.restart();
            harness.awaitReadiness(process.machine(), 200);
            for (ClientRequest request : ONE_OF_EACH_KIND) {
                harness.assertServed(0, request);
            }
        });
    }

    @Test
    void completesAStreamAfterItHasReportedNotReady() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            FleetProcess process = harness.fleet.data().get(0);
            harness.decodeServers.forEach(server -> server.pauseStreamsAfter(PAUSE_AFTER_EVENTS));
            ClientAttempt stream = harness.send(0, FleetHarness.generation(CHAT, "long"));
            harness.await("the stream has started", StreamEventSent.class, event -> event.id() == PAUSE_AFTER_EVENTS);
            double terminatedAtMs = harness.now();
            process.terminate();
            harness.awaitReadiness(process.machine(), 503);
            assertFalse(stream.ended().isDone());
            harness.assertServed(0, ClientRequest.plain(WRITE, "ending"));
            harness.awaitState(
                    "no new connection is accepted",
                    () -> harness.awaitOutcome(0, ClientRequest.plain(READ, "late"))
                                    .status()
                            == 0);
            assertFalse(stream.ended().isDone());
            harness.decodeServers.forEach(ModelServer::resumeStreams);
            assertTrue(Futures.await(stream.ended()).served());
            assertTrue(process.awaitEnd(FleetBounds.GRACE_S), "the process did not exit within the grace period");
            assertTrue(harness.now() - terminatedAtMs < FleetBounds.GRACE_S * MS_PER_S, "the process exited too late");
        });
    }
}
