package dewplank.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.emulator.fleet.FleetEvent.Arrived;
import dewplank.emulator.fleet.FleetEvent.EndpointListRequested;
import dewplank.emulator.fleet.PlainServer;
import dewplank.emulator.fleet.StandInPlatform.Behaviour;
import dewplank.emulator.fleet.SteadyLoad;
import org.junit.jupiter.api.Test;

/** While the platform doesn't respond or rejects calls, data planes continue to use the last endpoint list. */
class PlatformFaultTest {

    @Test
    void servesWithTheLastEndpointListWhileThePlatformIsUnresponsiveOrRejectsCalls() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            SteadyLoad load = harness.startLoad();
            for (Behaviour behaviour : new Behaviour[] {Behaviour.UNRESPONSIVE, Behaviour.TOO_MANY_CALLS}) {
                harness.platform().behaviour(behaviour);
                int status = behaviour == Behaviour.UNRESPONSIVE ? 0 : 429;
                for (int calls = 0; calls < 2; calls++) {
                    double calledAfterMs = harness.now();
                    harness.await(
                            "a failed call to the platform",
                            EndpointListRequested.class,
                            call -> call.atMs() > calledAfterMs && call.status() == status);
                }
                harness.awaitServed("requests served with the last endpoint list", load);
            }
            PlainServer added = harness.fleet.plainServer("plain");
            harness.platform().behaviour(Behaviour.ANSWERS);
            harness.await("a request at the added server", Arrived.class, arrival -> arrival.server()
                    .equals(added.identity()));
            load.stop();
            assertEquals(0, load.notServed());
        });
    }
}
