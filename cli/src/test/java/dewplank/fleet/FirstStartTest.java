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
class FirstStartTest {

    @Test
    void servesEveryKindOfRequestOnceTheFirstConfigurationIsTaken() throws Exception {
        FleetStory.tell(3, 2, story -> {
            for (int edge = 0; edge < 2; edge++) {
                for (ClientRequest request : FleetStory.MIX) {
                    story.assertServed(edge, request);
                }
                assertEquals(200, story.fleet.readiness(story.fleet.edge(edge)));
            }
            assertFalse(story.fleet.history().events(HandleFetched.class).isEmpty(), "no stream was split");
            story.assertReadBack(FleetStory.FIRST.version(), 1);
        });
    }

    @Test
    void aChangeByNamesIsInForceAtEveryDataPlane() throws Exception {
        FleetStory.tell(3, 2, story -> {
            story.fleet.plainServer("other");
            RouteSpec added = RouteSpec.to("other", "added", RouteSpec.Kind.SAFE);
            FleetConfiguration next = FleetStory.FIRST.with(5, added).without(5, FleetStory.WRITE.name());
            assertEquals(200, Futures.await(story.fleet.operator().patch(next, FleetStory.FIRST, 1)));
            for (int edge = 0; edge < 2; edge++) {
                int at = edge;
                story.fleet.history().awaitState("the new route at edge " + edge, () -> story.outcome(
                                at, ClientRequest.plain(added, "a"))
                        .served());
                assertEquals(
                        404,
                        story.outcome(edge, ClientRequest.plain(FleetStory.WRITE, "b"))
                                .status());
            }
            story.assertReadBack(next.version(), 2);
        });
    }
}
