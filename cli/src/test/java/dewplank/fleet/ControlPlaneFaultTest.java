package dewplank.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import dewplank.emulator.fleet.ClientRequest;
import dewplank.emulator.fleet.FleetBounds;
import dewplank.emulator.fleet.FleetConfiguration;
import dewplank.emulator.fleet.FleetEvent.AttemptSent;
import dewplank.emulator.fleet.FleetEvent.ChangeAttempted;
import dewplank.emulator.fleet.FleetEvent.EndpointListRequested;
import dewplank.emulator.fleet.FleetProcess;
import dewplank.emulator.fleet.Futures;
import dewplank.emulator.fleet.ServerIdentity;
import dewplank.emulator.fleet.SteadyLoad;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Control processes are killed, frozen and lose their disks, while clients keep asking. */
class ControlPlaneFaultTest {
    private static final double BEYOND_MS = 400; // requests are sent for so long after a drain has to be in force
    /** At each data plane; one that still used the drained server would miss it with all in about 2^-16. */
    private static final int REQUESTS_AFTER_DRAIN = 16;

    @Test
    void aDrainListedAfterTheLeaseHolderWasKilledIsInForceInTime() throws Exception {
        FleetHarness.run(3, 2, harness -> {
            FleetHarness.Lease lease = harness.awaitLease();
            FleetProcess holder = lease.holder();
            SteadyLoad load = harness.fleet.load(FleetHarness.ONE_OF_EACH_KIND);
            holder.kill();
            ServerIdentity leaving = harness.plainServers.get(0).identity();
            double told = harness.fleet.now();
            harness.fleet.platform().drain(leaving);
            harness.fleet
                    .history()
                    .await(
                            "a call of another control process",
                            EndpointListRequested.class,
                            c -> c.atMs() > told
                                    && !c.node().equals(holder.machine().node()));
            harness.fleet
                    .history()
                    .await(
                            "requests after the drain",
                            AttemptSent.class,
                            t -> t.atMs() > told + FleetBounds.DRAIN_MS + BEYOND_MS);
            for (int request = 0; request < REQUESTS_AFTER_DRAIN; request++) {
                harness.assertServed(0, ClientRequest.plain(FleetHarness.READ, "drained"));
                harness.assertServed(1, ClientRequest.plain(FleetHarness.READ, "drained"));
            }
            load.stop();
            assertEquals(0, load.notServed());
            FleetHarness.Lease next = harness.awaitLease();
            assertTrue(next.holder() != holder);
            assertTrue(next.fencingToken() > lease.fencingToken(), next + " after " + lease);
        });
    }

    @Test
    void aFrozenFollowerServesTheNewestConfigurationOnceThawed() throws Exception {
        FleetHarness.run(3, 2, harness -> {
            changeWhileFrozen(harness, harness.controlOtherThan(harness.awaitLeaseHolder()));
        });
    }

    @Test
    void aFrozenLeaseHolderServesTheNewestConfigurationOnceThawed() throws Exception {
        FleetHarness.run(3, 2, harness -> {
            FleetHarness.Lease lease = harness.awaitLease();
            changeWhileFrozen(harness, lease.holder());
            FleetHarness.Lease next = harness.awaitLease();
            assertTrue(next.fencingToken() > lease.fencingToken(), next + " after " + lease);
        });
    }

    private static void changeWhileFrozen(FleetHarness harness, FleetProcess frozen) throws Exception {
        SteadyLoad load = harness.fleet.load(FleetHarness.ONE_OF_EACH_KIND);
        frozen.freeze();
        FleetConfiguration next = FleetHarness.INITIAL.withVersion(8);
        harness.putConfiguration(
                next, FleetHarness.INITIAL.version(), harness.indexOf(harness.controlOtherThan(frozen)));
        double after = harness.fleet.now();
        harness.fleet
                .history()
                .await(
                        "a call to the platform by one that runs",
                        EndpointListRequested.class,
                        c -> c.atMs() > after
                                && !c.node().equals(frozen.machine().node()));
        frozen.thaw();
        harness.fleet
                .history()
                .awaitState("the newest at the one that was frozen", () -> harness.reportsVersion(frozen, 8));
        JsonObject[] read = new JsonObject[1]; // until it has met a majority again it answers nothing
        harness.fleet.history().awaitState("a configuration from the one that was frozen", () -> {
            read[0] = harness.view(frozen, "/configuration");
            return read[0].has("config_version");
        });
        assertEquals(8, read[0].get("config_version").getAsLong());
        load.stop();
        assertEquals(0, load.notServed());
        harness.assertReadBack(8, harness.indexOf(frozen));
    }

    @Test
    void anAcknowledgedConfigurationSurvivesTheLossOfAllControlProcesses() throws Exception {
        FleetHarness.run(3, 2, harness -> {
            SteadyLoad load = harness.fleet.load(FleetHarness.ONE_OF_EACH_KIND);
            FleetConfiguration next = FleetHarness.INITIAL.withVersion(6);
            harness.putConfiguration(next, FleetHarness.INITIAL.version(), 1);
            for (FleetProcess control : harness.fleet.control()) {
                control.kill();
            }
            harness.awaitServed("requests served without a control plane", load);
            for (FleetProcess control : harness.fleet.control()) {
                control.restart();
            }
            harness.assertReadBack(6, 0);
            harness.putConfiguration(next.withVersion(7), 6, 2);
            harness.assertReadBack(7, 1);
            load.stop();
            assertEquals(0, load.notServed());
        });
    }

    /** The moment of the kills is left to chance: before, in the midst of, or after the decision. */
    @Test
    void aChangeSentWhileAllControlProcessesAreKilledIsCommittedOnce() throws Exception {
        FleetHarness.run(3, 1, harness -> {
            FleetConfiguration next = FleetHarness.INITIAL.withVersion(6);
            CompletableFuture<Integer> change = harness.fleet.operator().put(next, FleetHarness.INITIAL.version(), 1);
            for (FleetProcess control : harness.fleet.control()) {
                control.kill();
            }
            for (FleetProcess control : harness.fleet.control()) {
                control.restart();
            }
            assertEquals(200, Futures.await(change));
            harness.assertReadBack(6, 0);
        });
    }

    /** Two of three acceptors are frozen, so that the change is certainly not decided when all are killed. */
    @Test
    void aPendingChangeIsCommittedOnceAllControlProcessesHaveRestarted() throws Exception {
        FleetHarness.run(3, 1, harness -> {
            FleetConfiguration next = FleetHarness.INITIAL.withVersion(6);
            FleetProcess running = harness.fleet.control(1);
            harness.fleet.control(0).freeze();
            harness.fleet.control(2).freeze();
            CompletableFuture<Integer> change = harness.fleet.operator().put(next, FleetHarness.INITIAL.version(), 1);
            harness.fleet.history().await("an attempt without a quorum", ChangeAttempted.class, t -> t.node()
                    .equals(running.machine().node()));
            assertFalse(change.isDone());
            for (FleetProcess control : harness.fleet.control()) {
                control.kill();
            }
            for (FleetProcess control : harness.fleet.control()) {
                control.restart();
            }
            assertEquals(200, Futures.await(change));
            harness.assertReadBack(6, 0);
        });
    }

    /** Of three acceptors one is down and one has forgotten what it promised: they must not decide anything. */
    @Test
    void anAcceptorThatLostItsDiskVotesOnlyAfterAReconfiguration() throws Exception {
        FleetHarness.run(3, 1, harness -> {
            FleetProcess kept = harness.fleet.control(0);
            FleetProcess down = harness.fleet.control(1);
            FleetProcess wiped = harness.fleet.control(2);
            FleetConfiguration next = FleetHarness.INITIAL.withVersion(6);
            down.kill();
            wiped.kill();
            wiped.loseDisk();
            wiped.restart();
            harness.fleet.history().awaitState("the empty one is up", () -> !harness.view(wiped, "/status")
                    .isEmpty());
            CompletableFuture<Integer> change = harness.fleet.operator().put(next, FleetHarness.INITIAL.version(), 0);
            awaitNoQuorum(harness, kept);
            awaitNoQuorum(harness, wiped);
            assertFalse(change.isDone());
            down.restart();
            assertEquals(200, Futures.await(change));
            harness.fleet
                    .history()
                    .awaitState("a new identity among the acceptors", () -> harness.fleet.control().stream()
                            .allMatch(p -> reportsNewIdentity(harness, p, wiped)));
            kept.kill();
            harness.putConfiguration(next.withVersion(9), 6, harness.indexOf(wiped));
            harness.assertReadBack(9, harness.indexOf(down));
        });
    }

    private static void awaitNoQuorum(FleetHarness harness, FleetProcess control) throws Exception {
        harness.fleet
                .history()
                .await(
                        "no quorum at " + control.machine().node(),
                        ChangeAttempted.class,
                        t -> t.status() == 503
                                && t.node().equals(control.machine().node()));
    }

    private static boolean reportsNewIdentity(FleetHarness harness, FleetProcess asked, FleetProcess wiped) {
        JsonObject status = harness.view(asked, "/status");
        List<String> identities = new ArrayList<>();
        if (status.has("acceptors")) {
            for (JsonElement e : status.getAsJsonArray("acceptors")) {
                String address = e.getAsJsonObject().get("address").getAsString();
                if (address.startsWith(wiped.machine().address().getHostAddress() + ":")) {
                    identities.add(e.getAsJsonObject().get("identity").getAsString());
                }
            }
        }
        return identities.size() == 1 && !identities.get(0).startsWith("founder@");
    }
}
