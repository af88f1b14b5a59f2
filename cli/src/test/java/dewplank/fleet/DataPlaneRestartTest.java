package dewplank.fleet;

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

/** Data planes end and start again. */
class DataPlaneRestartTest {
    private static final int PAUSED_AFTER = 3;
    private static final double MS_PER_S = 1_000;

    @Test
    void isReadyAndServesAfterARestart() throws Exception {
        FleetHarness.run(1, 2, harness -> {
            FleetProcess process = harness.fleet.data().get(0);
            process.kill();
            for (ClientRequest request : FleetHarness.ONE_OF_EACH_KIND) {
                harness.assertServed(1, request);
            }
            process.restart();
            harness.awaitReadiness(process.machine(), 200);
            for (ClientRequest request : FleetHarness.ONE_OF_EACH_KIND) {
                harness.assertServed(0, request);
            }
        });
    }

    @Test
    void completesAStreamAfterItHasReportedNotReady() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            FleetProcess process = harness.fleet.data().get(0);
            harness.decodeServers.forEach(d -> d.pauseStreamsAfter(PAUSED_AFTER));
            ClientAttempt stream = harness.fleet
                    .client()
                    .send(process.machine(), ClientRequest.split(FleetHarness.CHAT, "long", FleetHarness.EVENT_COUNT));
            harness.fleet
                    .history()
                    .await("the stream is under way", StreamEventSent.class, e -> e.id() == PAUSED_AFTER);
            double terminatedAtMs = harness.fleet.now();
            process.terminate();
            harness.awaitReadiness(process.machine(), 503);
            assertFalse(stream.ended().isDone());
            harness.assertServed(0, ClientRequest.plain(FleetHarness.WRITE, "ending"));
            harness.fleet
                    .history()
                    .awaitState(
                            "no new connection is taken",
                            () -> harness.awaitOutcome(0, ClientRequest.plain(FleetHarness.READ, "late"))
                                            .status()
                                    == 0);
            assertFalse(stream.ended().isDone());
            harness.decodeServers.forEach(ModelServer::resumeStreams);
            assertTrue(Futures.await(stream.ended()).served());
            assertTrue(process.awaitEnd(FleetBounds.GRACE_S), "it has to end within the grace");
            assertTrue(harness.fleet.now() - terminatedAtMs < FleetBounds.GRACE_S * MS_PER_S, "it ended too late");
        });
    }
}
