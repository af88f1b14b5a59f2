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
class DataPlaneTest {
    private static final int PAUSED_AFTER = 3;
    private static final double MS_PER_S = 1_000;

    @Test
    void isReadyAndServesOnceItHasBeenRestarted() throws Exception {
        FleetStory.tell(1, 2, story -> {
            FleetProcess process = story.fleet.data().get(0);
            process.kill();
            for (ClientRequest request : FleetStory.MIX) {
                story.assertServed(1, request);
            }
            process.restart();
            story.awaitReadiness(process.machine(), 200);
            for (ClientRequest request : FleetStory.MIX) {
                story.assertServed(0, request);
            }
        });
    }

    @Test
    void endsAStreamWholeAfterItHasCalledItselfNotReady() throws Exception {
        FleetStory.tell(1, 1, story -> {
            FleetProcess process = story.fleet.data().get(0);
            story.decode.forEach(d -> d.pauseStreamsAfter(PAUSED_AFTER));
            ClientAttempt stream = story.fleet
                    .client()
                    .send(process.machine(), ClientRequest.split(FleetStory.CHAT, "long", FleetStory.EVENTS));
            story.fleet.history().await("the stream is under way", StreamEventSent.class, e -> e.id() == PAUSED_AFTER);
            double terminatedAtMs = story.fleet.now();
            process.terminate();
            story.awaitReadiness(process.machine(), 503);
            assertFalse(stream.ended().isDone());
            story.assertServed(0, ClientRequest.plain(FleetStory.WRITE, "ending"));
            story.fleet
                    .history()
                    .awaitState(
                            "no new connection is taken",
                            () -> story.outcome(0, ClientRequest.plain(FleetStory.READ, "late"))
                                            .status()
                                    == 0);
            assertFalse(stream.ended().isDone());
            story.decode.forEach(ModelServer::resumeStreams);
            assertTrue(Futures.await(stream.ended()).served());
            assertTrue(process.awaitEnd(FleetBounds.GRACE_S), "it has to end within the grace");
            assertTrue(story.fleet.now() - terminatedAtMs < FleetBounds.GRACE_S * MS_PER_S, "it ended too late");
        });
    }
}
