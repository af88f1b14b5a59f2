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
class ControlLossTest {
    private static final double BEYOND_MS = 400; // requests are sent for so long after a drain has to be in force
    /** At each data plane; one that still used the drained server would miss it with all in about 2^-16. */
    private static final int REQUESTS_AFTER_DRAIN = 16;

    @Test
    void aDrainToldAfterTheDutysHolderWasKilledIsInForceInTime() throws Exception {
        FleetStory.tell(3, 2, story -> {
            FleetStory.Lease lease = story.awaitLease();
            FleetProcess holder = lease.holder();
            SteadyLoad load = story.fleet.load(FleetStory.MIX);
            holder.kill();
            ServerIdentity leaving = story.plain.get(0).identity();
            double told = story.fleet.now();
            story.fleet.platform().drain(leaving);
            story.fleet
                    .history()
                    .await(
                            "a call of another control process",
                            EndpointListRequested.class,
                            c -> c.atMs() > told
                                    && !c.node().equals(holder.machine().node()));
            story.fleet
                    .history()
                    .await(
                            "requests after the drain",
                            AttemptSent.class,
                            t -> t.atMs() > told + FleetBounds.DRAIN_MS + BEYOND_MS);
            for (int request = 0; request < REQUESTS_AFTER_DRAIN; request++) {
                story.assertServed(0, ClientRequest.plain(FleetStory.READ, "drained"));
                story.assertServed(1, ClientRequest.plain(FleetStory.READ, "drained"));
            }
            load.stop();
            assertEquals(0, load.notServed());
            FleetStory.Lease next = story.awaitLease();
            assertTrue(next.holder() != holder);
            assertTrue(next.fencingNumber() > lease.fencingNumber(), next + " after " + lease);
        });
    }

    @Test
    void aFrozenFollowerServesTheNewestOnceItGoesOn() throws Exception {
        FleetStory.tell(3, 2, story -> {
            changeWhileFrozen(story, story.another(story.holder()));
        });
    }

    @Test
    void aFrozenHolderOfTheDutyServesTheNewestOnceItGoesOn() throws Exception {
        FleetStory.tell(3, 2, story -> {
            FleetStory.Lease lease = story.awaitLease();
            changeWhileFrozen(story, lease.holder());
            FleetStory.Lease next = story.awaitLease();
            assertTrue(next.fencingNumber() > lease.fencingNumber(), next + " after " + lease);
        });
    }

    private static void changeWhileFrozen(FleetStory story, FleetProcess frozen) throws Exception {
        SteadyLoad load = story.fleet.load(FleetStory.MIX);
        frozen.freeze();
        FleetConfiguration next = FleetStory.FIRST.withVersion(8);
        story.change(next, FleetStory.FIRST.version(), story.index(story.another(frozen)));
        double after = story.fleet.now();
        story.fleet
                .history()
                .await(
                        "a call to the platform by one that runs",
                        EndpointListRequested.class,
                        c -> c.atMs() > after
                                && !c.node().equals(frozen.machine().node()));
        frozen.thaw();
        story.fleet.history().awaitState("the newest at the one that was frozen", () -> story.knows(frozen, 8));
        JsonObject[] read = new JsonObject[1]; // until it has met a majority again it answers nothing
        story.fleet.history().awaitState("a configuration from the one that was frozen", () -> {
            read[0] = story.view(frozen, "/configuration");
            return read[0].has("config_version");
        });
        assertEquals(8, read[0].get("config_version").getAsLong());
        load.stop();
        assertEquals(0, load.notServed());
        story.assertReadBack(8, story.index(frozen));
    }

    @Test
    void whatWasAcknowledgedOutlivesTheLossOfAllControlProcesses() throws Exception {
        FleetStory.tell(3, 2, story -> {
            SteadyLoad load = story.fleet.load(FleetStory.MIX);
            FleetConfiguration next = FleetStory.FIRST.withVersion(6);
            story.change(next, FleetStory.FIRST.version(), 1);
            for (FleetProcess control : story.fleet.control()) {
                control.kill();
            }
            story.awaitServed("requests served without a control plane", load);
            for (FleetProcess control : story.fleet.control()) {
                control.restart();
            }
            story.assertReadBack(6, 0);
            story.change(next.withVersion(7), 6, 2);
            story.assertReadBack(7, 1);
            load.stop();
            assertEquals(0, load.notServed());
        });
    }

    /** The moment of the kills is left to chance: before, in the midst of, or after the decision. */
    @Test
    void aChangeSentWhileAllControlProcessesAreKilledIsTakenOnce() throws Exception {
        FleetStory.tell(3, 1, story -> {
            FleetConfiguration next = FleetStory.FIRST.withVersion(6);
            CompletableFuture<Integer> change = story.fleet.operator().put(next, FleetStory.FIRST.version(), 1);
            for (FleetProcess control : story.fleet.control()) {
                control.kill();
            }
            for (FleetProcess control : story.fleet.control()) {
                control.restart();
            }
            assertEquals(200, Futures.await(change));
            story.assertReadBack(6, 0);
        });
    }

    /** Two of three acceptors are frozen, so that the change is certainly not decided when all are killed. */
    @Test
    void aChangeUnderWayWhileAllControlProcessesAreKilledIsTakenOnce() throws Exception {
        FleetStory.tell(3, 1, story -> {
            FleetConfiguration next = FleetStory.FIRST.withVersion(6);
            FleetProcess running = story.fleet.control(1);
            story.fleet.control(0).freeze();
            story.fleet.control(2).freeze();
            CompletableFuture<Integer> change = story.fleet.operator().put(next, FleetStory.FIRST.version(), 1);
            story.fleet.history().await("an attempt without a quorum", ChangeAttempted.class, t -> t.node()
                    .equals(running.machine().node()));
            assertFalse(change.isDone());
            for (FleetProcess control : story.fleet.control()) {
                control.kill();
            }
            for (FleetProcess control : story.fleet.control()) {
                control.restart();
            }
            assertEquals(200, Futures.await(change));
            story.assertReadBack(6, 0);
        });
    }

    /** Of three acceptors one is down and one has forgotten what it promised: they must not decide anything. */
    @Test
    void aLostDiskTakesPartOnlyOnceTheAcceptorsHaveChanged() throws Exception {
        FleetStory.tell(3, 1, story -> {
            FleetProcess kept = story.fleet.control(0);
            FleetProcess down = story.fleet.control(1);
            FleetProcess wiped = story.fleet.control(2);
            FleetConfiguration next = FleetStory.FIRST.withVersion(6);
            down.kill();
            wiped.kill();
            wiped.loseDisk();
            wiped.restart();
            story.fleet.history().awaitState("the empty one is up", () -> !story.view(wiped, "/status")
                    .isEmpty());
            CompletableFuture<Integer> change = story.fleet.operator().put(next, FleetStory.FIRST.version(), 0);
            awaitRefusals(story, kept);
            awaitRefusals(story, wiped);
            assertFalse(change.isDone());
            down.restart();
            assertEquals(200, Futures.await(change));
            story.fleet.history().awaitState("a new identity among the acceptors", () -> story.fleet.control().stream()
                    .allMatch(p -> holdsNewIdentity(story, p, wiped)));
            kept.kill();
            story.change(next.withVersion(9), 6, story.index(wiped));
            story.assertReadBack(9, story.index(down));
        });
    }

    private static void awaitRefusals(FleetStory story, FleetProcess control) throws Exception {
        story.fleet
                .history()
                .await(
                        "no quorum at " + control.machine().node(),
                        ChangeAttempted.class,
                        t -> t.status() == 503
                                && t.node().equals(control.machine().node()));
    }

    private static boolean holdsNewIdentity(FleetStory story, FleetProcess asked, FleetProcess wiped) {
        JsonObject status = story.view(asked, "/status");
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
