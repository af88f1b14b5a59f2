package dewplank.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.emulator.fleet.FleetEvent.Arrived;
import dewplank.emulator.fleet.FleetEvent.EndpointListRequested;
import dewplank.emulator.fleet.PlainServer;
import dewplank.emulator.fleet.StandInPlatform.Behaviour;
import dewplank.emulator.fleet.SteadyLoad;
import org.junit.jupiter.api.Test;

/** The platform is silent, or takes no more calls: what is known of it is used. */
class PlatformTroubleTest {

    @Test
    void servesByTheLastListWhileThePlatformIsSilentOrTakesNoCalls() throws Exception {
        FleetStory.tell(1, 1, story -> {
            SteadyLoad load = story.fleet.load(FleetStory.MIX);
            for (Behaviour mood : new Behaviour[] {Behaviour.UNRESPONSIVE, Behaviour.TOO_MANY_CALLS}) {
                story.fleet.platform().behaviour(mood);
                int status = mood == Behaviour.UNRESPONSIVE ? 0 : 429;
                for (int calls = 0; calls < 2; calls++) {
                    double after = story.fleet.now();
                    story.fleet
                            .history()
                            .await(
                                    "a call that the platform does not answer",
                                    EndpointListRequested.class,
                                    c -> c.atMs() > after && c.status() == status);
                }
                story.awaitServed("requests served by the last list", load);
            }
            PlainServer added = story.fleet.plainServer("plain");
            story.fleet.platform().behaviour(Behaviour.ANSWERS);
            story.fleet.history().await("a request at the server that came", Arrived.class, a -> a.server()
                    .equals(added.identity()));
            load.stop();
            assertEquals(0, load.notServed());
        });
    }
}
