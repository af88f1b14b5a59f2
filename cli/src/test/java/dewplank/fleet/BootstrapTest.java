package dewplank.fleet;

import static dewplank.fleet.FleetHarness.INITIAL;
import static dewplank.fleet.FleetHarness.ONE_OF_EACH_KIND;
import static dewplank.fleet.FleetHarness.WRITE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import dewplank.emulator.fleet.ClientRequest;
import dewplank.emulator.fleet.FleetConfiguration;
import dewplank.emulator.fleet.FleetEvent.HandleFetched;
import dewplank.emulator.fleet.Futures;
import dewplank.emulator.fleet.RouteSpec;
import org.junit.jupiter.api.Test;

/** Tests the first start of a fleet and a patch of its first configuration. */
class BootstrapTest {

    @Test
    void servesEveryKindOfRequestAfterTheFirstConfigurationIsCommitted() throws Exception {
        FleetHarness.run(3, 2, harness -> {
            for (int edge = 0; edge < 2; edge++) {
                for (ClientRequest request : ONE_OF_EACH_KIND) {
                    harness.assertServed(edge, request);
                }
                assertEquals(200, harness.fleet.readiness(harness.fleet.dataMachine(edge)));
            }
            assertFalse(
                    harness.events(HandleFetched.class).isEmpty(), "no generation was split into prefill and decode");
            harness.assertReadBack(INITIAL.version(), 1);
        });
    }

    @Test
    void aPatchTakesEffectAtEveryDataPlane() throws Exception {
        FleetHarness.run(3, 2, harness -> {
            harness.fleet.plainServer("other");
            RouteSpec added = RouteSpec.to("other", "added", RouteSpec.Kind.SAFE);
            FleetConfiguration next = INITIAL.with(5, added).without(5, WRITE.name());
            assertEquals(200, Futures.await(harness.operator().patch(next, INITIAL, 1)));
            for (int edge = 0; edge < 2; edge++) {
                int at = edge;
                harness.awaitState(
                        "the new route at edge " + edge, () -> harness.awaitOutcome(at, ClientRequest.plain(added, "a"))
                                .served());
                assertEquals(
                        404,
                        harness.awaitOutcome(edge, ClientRequest.plain(WRITE, "b"))
                                .status());
            }
            harness.assertReadBack(next.version(), 2);
        });
    }
}
