package dewplank.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import dewplank.emulator.fleet.ClientRequest;
import dewplank.emulator.fleet.FleetConfiguration;
import dewplank.emulator.fleet.FleetEvent.HandleFetched;
import dewplank.emulator.fleet.Futures;
import dewplank.emulator.fleet.RouteSpec;
import org.junit.jupiter.api.Test;

/** A fleet that starts for the first time. */
class BootstrapTest {

    @Test
    void servesEveryKindOfRequestOnceTheFirstConfigurationIsCommitted() throws Exception {
        FleetHarness.run(3, 2, harness -> {
            for (int edge = 0; edge < 2; edge++) {
                for (ClientRequest request : FleetHarness.ONE_OF_EACH_KIND) {
                    harness.assertServed(edge, request);
                }
                assertEquals(200, harness.fleet.readiness(harness.fleet.edge(edge)));
            }
            assertFalse(harness.fleet.history().events(HandleFetched.class).isEmpty(), "no stream was split");
            harness.assertReadBack(FleetHarness.INITIAL.version(), 1);
        });
    }

    @Test
    void aPatchIsInForceAtEveryDataPlane() throws Exception {
        FleetHarness.run(3, 2, harness -> {
            harness.fleet.plainServer("other");
            RouteSpec added = RouteSpec.to("other", "added", RouteSpec.Kind.SAFE);
            FleetConfiguration next = FleetHarness.INITIAL.with(5, added).without(5, FleetHarness.WRITE.name());
            assertEquals(200, Futures.await(harness.fleet.operator().patch(next, FleetHarness.INITIAL, 1)));
            for (int edge = 0; edge < 2; edge++) {
                int at = edge;
                harness.fleet.history().awaitState("the new route at edge " + edge, () -> harness.awaitOutcome(
                                at, ClientRequest.plain(added, "a"))
                        .served());
                assertEquals(
                        404,
                        harness.awaitOutcome(edge, ClientRequest.plain(FleetHarness.WRITE, "b"))
                                .status());
            }
            harness.assertReadBack(next.version(), 2);
        });
    }
}
