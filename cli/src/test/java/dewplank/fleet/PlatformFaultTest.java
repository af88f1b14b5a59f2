package dewplank.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.emulator.fleet.FleetEvent.Arrived;
import dewplank.emulator.fleet.FleetEvent.EndpointListRequested;
import dewplank.emulator.fleet.PlainServer;
import dewplank.emulator.fleet.StandInPlatform.Behaviour;
import dewplank.emulator.fleet.SteadyLoad;
import org.junit.jupiter.api.Test;

/** The platform is silent, or takes no more calls: what is known of it is used. */
class PlatformFaultTest {

    @Test
    void servesByTheLastEndpointListWhileThePlatformIsUnresponsiveOrRejectsCalls() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            SteadyLoad load = harness.fleet.load(FleetHarness.ONE_OF_EACH_KIND);
            for (Behaviour behaviour : new Behaviour[] {Behaviour.UNRESPONSIVE, Behaviour.TOO_MANY_CALLS}) {
                harness.fleet.platform().behaviour(behaviour);
                int status = behaviour == Behaviour.UNRESPONSIVE ? 0 : 429;
                for (int calls = 0; calls < 2; calls++) {
                    double after = harness.fleet.now();
                    harness.fleet
                            .history()
                            .await(
                                    "a call that the platform does not answer",
                                    EndpointListRequested.class,
                                    c -> c.atMs() > after && c.status() == status);
                }
                harness.awaitServed("requests served by the last list", load);
            }
            PlainServer added = harness.fleet.plainServer("plain");
            harness.fleet.platform().behaviour(Behaviour.ANSWERS);
            harness.fleet.history().await("a request at the server that came", Arrived.class, a -> a.server()
                    .equals(added.identity()));
            load.stop();
            assertEquals(0, load.notServed());
        });
    }
}
