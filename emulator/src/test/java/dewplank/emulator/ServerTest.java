package dewplank.emulator;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.Server.Reply;
import dewplank.emulator.scenario.ScenarioFile;
import dewplank.emulator.scenario.TomlFile;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.junit.Test;

public class ServerTest {
    private final VirtualTime time = new VirtualTime();
    private final List<RecordedEvent> events = new ArrayList<>();
    private final List<Reply> replies = new ArrayList<>();
    private final List<Double> times = new ArrayList<>();

    private World world(String machineKeys) {
        return world(machineKeys, "", "");
    }

    private World world(String machineKeys, String classKeys, String topKeys) {
        return new World(
                ScenarioFile.of(TomlFile.read(
                        """
            name = "one"
            length_s = 1
            sidecars = 1
            %s
            [servers]
            count = 1
            machine = [ { cores = 1, slots_per_core = 1000, queue_per_core = 0, %s } ]
            [load]
            per_s = 1
            [[class]]
            name = "k"
            work_ms = 100
            deadline_ms = 60000
            %s
            """
                                .formatted(topKeys, machineKeys, classKeys),
                        "one.toml")),
                7,
                time,
                events::add);
    }

    private void offer(World world, long id, double work) {
        double at = world.now();
        world.servers()
                .get(0)
                .offer(new ClientAttempt(id, 0, id, work, 0, false, at, at + 60_000, null), 0, (reply, load) -> {
                    replies.add(reply);
                    times.add(world.now() - at);
                });
    }

    /** Mean response of M/M/1 under processor sharing: work / (1 - load); here 100 / (1 - 0.6). */
    @Test
    public void sharedProcessorsTakeAsLongAsTheorySays() {
        World world = world("error_rate = 0");
        DoubleSupplier gap = RandomStreams.exponential(world.randomStreams().stream("gap", 0));
        DoubleSupplier work = RandomStreams.exponential(world.randomStreams().stream("work", 0));
        double at = 0;
        for (int i = 0; i < 60_000; i++) {
            at += gap.getAsDouble() * 100 / 0.6;
            double w = 100 * work.getAsDouble();
            long id = i;
            time.after(at, () -> offer(world, id, w));
        }
        time.runUntil(at + 60_000);
        assertEquals(60_000, times.size());
        assertEquals(250, times.stream().mapToDouble(d -> d).average().orElse(0), 15);
    }

    @Test
    public void beyondSlotsAndQueueRequestsAreRejected() {
        World world = world("name = \"small\", speed = 1");
        for (int i = 0; i < 1_003; i++) {
            offer(world, i, 100);
        }
        assertEquals(List.of(Reply.NEVER_RAN, Reply.NEVER_RAN, Reply.NEVER_RAN), replies);
        assertEquals(3, events.stream().filter(n -> n.type() == Type.REJECTED).count());
    }

    @Test
    public void aCrashedProcessResetsAndAVanishedMachineSendsNothing() {
        World world = world("cold_s = 0");
        offer(world, 1, 100);
        world.servers().get(0).crash();
        assertEquals(List.of(Reply.RESET), replies);
        world.servers().get(0).start();
        offer(world, 2, 100);
        world.servers().get(0).vanish();
        time.runUntil(10_000);
        assertEquals(List.of(Reply.RESET), replies);
        assertEquals(0, events.stream().filter(n -> n.type() == Type.EFFECT).count());
    }

    @Test
    public void aColdServerTakesLongerAndCollapsesUnderTooMuchLoad() {
        World world = world("cold_s = 20, cold_share = 0.25");
        Server server = world.servers().get(0);
        server.crash();
        server.start();
        offer(world, 1, 100);
        time.runUntil(5_000);
        assertTrue("took " + times.get(0), times.get(0) > 350 && times.get(0) < 480);
        for (int i = 2; i < 2_000 && server.state() == Server.State.UP; i++) {
            offer(world, i, 100);
        }
        assertEquals(Server.State.CRASHED, server.state());
        assertEquals(
                1,
                events.stream().filter(n -> n.type() == Type.SERVER_COLLAPSED).count());
    }

    @Test
    public void anOverloadedServerSlowsDownAndRecoversOnlyAfterFewerRequests() {
        World world = world("choke = { at = 10, over_s = 1, slower = 4, rest_s = 2, below = 0.5, most_s = 100 }");
        Server server = world.servers().get(0);
        for (int i = 0; i < 20; i++) {
            offer(world, i, 200);
        }
        time.runUntil(900);
        assertEquals(1, server.capacity(), 1e-9);
        time.runUntil(1_100);
        assertEquals(0.25, server.capacity(), 1e-9);
        time.runUntil(60_000);
        assertEquals(1, server.capacity(), 1e-9);
        assertEquals(20, replies.size());
    }

    /** Ten that wait on others take no longer than one: they hold slots, and no core once their work is done. */
    @Test
    public void waitingOnOthersTakesNoCore() {
        World world = world("cold_s = 0", "waits_ms = 1000", "");
        for (int i = 0; i < 10; i++) {
            offer(world, i, 1);
        }
        time.runUntil(15);
        assertEquals(10, world.servers().get(0).requestsInFlight());
        offer(world, 11, 1);
        time.runUntil(20);
        assertEquals(0, world.servers().get(0).backlog(), 1e-6);
        time.runUntil(60_000);
        assertEquals(11, replies.size());
        assertTrue("mean " + times, times.stream().mapToDouble(d -> d).average().orElse(0) > 300);
    }

    @Test
    public void aCachedKeySavesWorkUntilItIsEvictedOrExpires() {
        World world = world("cold_s = 0", "", "subjects = { keys = 5, spared = 0.5, fresh_s = 2, per_core = 1 }");
        double first = alone(world, 1, 7);
        assertEquals(first / 2, alone(world, 1, 7), 1e-6);
        alone(world, 1, 8); // the one key that it remembers
        assertEquals(first, alone(world, 1, 7), 1e-6);
        time.runUntil(time.now() + 2_100);
        assertEquals(first, alone(world, 1, 7), 1e-6);
    }

    private double alone(World world, long id, int about) {
        double at = world.now();
        double[] took = new double[1];
        world.servers()
                .get(0)
                .offer(
                        new ClientAttempt(id, 0, id, 100, 0, false, at, at + 60_000, null, -1, about),
                        0,
                        (reply, load) -> took[0] = world.now() - at);
        time.runUntil(at + 1_000);
        return took[0];
    }

    @Test
    public void aPauseStopsTheWorkWhichGoesOnAfterwards() {
        World world = world("speed = 2");
        offer(world, 1, 100);
        time.runUntil(10);
        world.servers().get(0).pause(200);
        time.runUntil(1_000);
        double least = 200 + 100 * 0.85 / 2;
        assertTrue("took " + times, times.get(0) >= least && times.get(0) <= 200 + 100 * 1.15 / 2 + 1);
    }
}
