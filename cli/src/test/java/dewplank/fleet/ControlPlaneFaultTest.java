package dewplank.fleet;

import static dewplank.fleet.FleetHarness.INITIAL;
import static dewplank.fleet.FleetHarness.READ;
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

/** Control processes are killed, paused or lose their disks while clients send requests. */
class ControlPlaneFaultTest {
    private static final double AFTER_DRAIN_LIMIT_MS = 400; // load continues this long after the time limit of a drain
    /**
     * The number of requests sent to each data plane after the drain. A data plane that still uses the draining server
     * sends none of them to it with a probability of about 2^-16.
     */
    private static final int REQUESTS_AFTER_DRAIN = 16;

    @Test
    void aDrainListedAfterTheLeaseHolderWasKilledTakesEffectInTime() throws Exception {
        FleetHarness.run(3, 2, harness -> {
            FleetHarness.Lease lease = harness.awaitLease();
            FleetProcess holder = lease.holder();
            SteadyLoad load = harness.startLoad();
            holder.kill();
            ServerIdentity draining = harness.plainServers.get(0).identity();
            double listedAtMs = harness.now();
            harness.platform().drain(draining);
            awaitCallByOtherProcess(harness, holder, listedAtMs);
            harness.await(
                    "requests after the drain",
                    AttemptSent.class,
                    attempt -> attempt.atMs() > listedAtMs + FleetBounds.DRAIN_MS + AFTER_DRAIN_LIMIT_MS);
            for (int request = 0; request < REQUESTS_AFTER_DRAIN; request++) {
                harness.assertServed(0, ClientRequest.plain(READ, "after-drain"));
                harness.assertServed(1, ClientRequest.plain(READ, "after-drain"));
            }
            load.stop();
            assertEquals(0, load.notServed());
            FleetHarness.Lease next = harness.awaitLease();
            assertTrue(next.holder() != holder);
            assertTrue(next.fencingToken() > lease.fencingToken(), next + " after " + lease);
        });
    }

    /** Waits for a call to the platform after the given time by a control process other than the excluded one. */
    private static void awaitCallByOtherProcess(FleetHarness harness, FleetProcess excluded, double afterMs)
            throws Exception {
        String node = excluded.machine().node();
        harness.await(
                "a call to the platform by a process other than " + node,
                EndpointListRequested.class,
                call -> call.atMs() > afterMs && !call.node().equals(node));
    }

    @Test
    void aPausedFollowerServesTheNewestConfigurationAfterItIsResumed() throws Exception {
        FleetHarness.run(3, 2, harness -> {
            changeConfigurationWhilePaused(harness, harness.controlOtherThan(harness.awaitLeaseHolder()));
        });
    }

    @Test
    void aPausedLeaseHolderServesTheNewestConfigurationAfterItIsResumed() throws Exception {
        FleetHarness.run(3, 2, harness -> {
            FleetHarness.Lease lease = harness.awaitLease();
            changeConfigurationWhilePaused(harness, lease.holder());
            FleetHarness.Lease next = harness.awaitLease();
            assertTrue(next.fencingToken() > lease.fencingToken(), next + " after " + lease);
        });
    }

    private static void changeConfigurationWhilePaused(FleetHarness harness, FleetProcess paused) throws Exception {
        SteadyLoad load = harness.startLoad();
        paused.pause();
        FleetConfiguration next = INITIAL.withVersion(8);
        harness.putConfiguration(next, INITIAL.version(), harness.indexOf(harness.controlOtherThan(paused)));
        double changedAtMs = harness.now();
        awaitCallByOtherProcess(harness, paused, changedAtMs);
        paused.resume();
        harness.awaitState("the newest version at the resumed process", () -> harness.reportsVersion(paused, 8));
        // it serves no configuration until it has reached a majority again
        JsonObject read = harness.awaitView(paused, "/configuration", "config_version");
        assertEquals(8, read.get("config_version").getAsLong());
        load.stop();
        assertEquals(0, load.notServed());
        harness.assertReadBack(8, harness.indexOf(paused));
    }

    @Test
    void anAcknowledgedConfigurationSurvivesTheLossOfAllControlProcesses() throws Exception {
        FleetHarness.run(3, 2, harness -> {
            SteadyLoad load = harness.startLoad();
            FleetConfiguration next = INITIAL.withVersion(6);
            harness.putConfiguration(next, INITIAL.version(), 1);
            harness.killAllControl();
            harness.awaitServed("requests served without a control plane", load);
            harness.restartAllControl();
            harness.assertReadBack(6, 0);
            harness.putConfiguration(next.withVersion(7), 6, 2);
            harness.assertReadBack(7, 1);
            load.stop();
            assertEquals(0, load.notServed());
        });
    }

    /** The processes are killed at a random moment: before, during or after the decision. */
    @Test
    void aChangeSentWhileAllControlProcessesAreKilledIsCommittedOnce() throws Exception {
        FleetHarness.run(3, 1, harness -> {
            FleetConfiguration next = INITIAL.withVersion(6);
            CompletableFuture<Integer> change = harness.operator().put(next, INITIAL.version(), 1);
            harness.killAllControl();
            harness.restartAllControl();
            assertEquals(200, Futures.await(change));
            harness.assertReadBack(6, 0);
        });
    }

    /** Two of three acceptors are paused, so the change can't be decided before all processes are killed. */
    @Test
    void aPendingChangeIsCommittedOnceAllControlProcessesHaveRestarted() throws Exception {
        FleetHarness.run(3, 1, harness -> {
            FleetConfiguration next = INITIAL.withVersion(6);
            FleetProcess running = harness.control(1);
            harness.control(0).pause();
            harness.control(2).pause();
            CompletableFuture<Integer> change = harness.operator().put(next, INITIAL.version(), 1);
            harness.await("an attempt without a quorum", ChangeAttempted.class, attempt -> attempt.node()
                    .equals(running.machine().node()));
            assertFalse(change.isDone());
            harness.killAllControl();
            harness.restartAllControl();
            assertEquals(200, Futures.await(change));
            harness.assertReadBack(6, 0);
        });
    }

    /** Of three acceptors one is stopped and one has lost its promises; the running ones must not decide anything. */
    @Test
    void anAcceptorThatLostItsDiskVotesOnlyAfterAReconfiguration() throws Exception {
        FleetHarness.run(3, 1, harness -> {
            FleetProcess running = harness.control(0);
            FleetProcess stopped = harness.control(1);
            FleetProcess wiped = harness.control(2);
            FleetConfiguration next = INITIAL.withVersion(6);
            stopped.kill();
            wiped.kill();
            wiped.loseDisk();
            wiped.restart();
            harness.awaitState("the process with an empty disk is up", () -> !harness.view(wiped, "/status")
                    .isEmpty());
            CompletableFuture<Integer> change = harness.operator().put(next, INITIAL.version(), 0);
            awaitNoQuorum(harness, running);
            awaitNoQuorum(harness, wiped);
            assertFalse(change.isDone());
            stopped.restart();
            assertEquals(200, Futures.await(change));
            harness.awaitState("a new identity among the acceptors", () -> harness.control().stream()
                    .allMatch(process -> reportsNewIdentity(harness, process, wiped)));
            running.kill();
            harness.putConfiguration(next.withVersion(9), 6, harness.indexOf(wiped));
            harness.assertReadBack(9, harness.indexOf(stopped));
        });
    }

    private static void awaitNoQuorum(FleetHarness harness, FleetProcess control) throws Exception {
        harness.await(
                "no quorum at " + control.machine().node(),
                ChangeAttempted.class,
                attempt -> attempt.status() == 503
                        && attempt.node().equals(control.machine().node()));
    }

    private static boolean reportsNewIdentity(FleetHarness harness, FleetProcess process, FleetProcess wiped) {
        JsonObject status = harness.view(process, "/status");
        List<String> identities = new ArrayList<>();
        if (status.has("acceptors")) {
            for (JsonElement acceptor : status.getAsJsonArray("acceptors")) {
                String address = acceptor.getAsJsonObject().get("address").getAsString();
                if (address.startsWith(wiped.machine().address().getHostAddress() + ":")) {
                    identities.add(acceptor.getAsJsonObject().get("identity").getAsString());
                }
            }
        }
        return identities.size() == 1 && !identities.get(0).startsWith("founder@");
    }
}
