package dewplank.emulator;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.scenario.ScenarioFile;
import dewplank.emulator.scenario.TomlFile;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;

public class EndpointDirectoryTest {
    private final VirtualTime time = new VirtualTime();
    private final List<RecordedEvent> events = new ArrayList<>();
    private final List<String> updates = new ArrayList<>();
    private World world;

    private void world(String directory) {
        world = new World(
                ScenarioFile.of(TomlFile.read(
                        """
            name = "list"
            length_s = 10
            sidecars = 2
            servers = { count = 4 }
            directory = { %s }
            load = { per_s = 1 }
            [[class]]
            name = "k"
            work_ms = 1
            deadline_ms = 100
            """
                                .formatted(directory),
                        "list.toml")),
                1,
                time,
                events::add);
    }

    private EndpointDirectory.Watch watch(long since) {
        return world.directory().watch(0, since, new EndpointDirectory.Watcher() {
            @Override
            public void updated(long version, boolean full, List<Endpoint> entries) {
                updates.add((full ? "full " : "changes ") + entries.size());
            }

            @Override
            public void ended() {
                updates.add("ended at %.0f".formatted(time.now()));
            }
        });
    }

    @Test
    public void aLossIsNoticedLateAndAReturnThatWasQuickerIsNoLoss() {
        world("notice_s = 2, add_s = 0.5, period_ms = 100, calls_per_s = 1000");
        watch(world.directory().version());
        Server quick = world.servers().get(0);
        Server lost = world.servers().get(1);
        quick.crash();
        world.noticeCrash(quick);
        world.restart(quick, 100);
        lost.crash();
        world.noticeCrash(lost);
        time.runUntil(900);
        assertEquals(List.of("changes 0", "changes 1"), updates); // the quick one's new start
        time.runUntil(4_000);
        assertEquals(List.of("changes 0", "changes 1", "changes 1"), updates);
        assertEquals(
                1,
                events.stream()
                        .filter(n -> n.type() == Type.NOTIFIED_REMOVED && n.server() == 1)
                        .count());
    }

    @Test
    public void callsWaitTheirTurnAndFailWhenTheyHaveWaitedTooLong() {
        world("calls_per_s = 2, timeout_ms = 1000");
        for (int i = 0; i < 5; i++) {
            watch(1);
        }
        time.runUntil(3_000);
        assertEquals(3, updates.stream().filter(h -> h.equals("changes 0")).count());
        assertEquals(2, updates.stream().filter(h -> h.equals("ended at 1000")).count());
    }

    @Test
    public void watchesEndWhenItGoesDownAndStayWithoutUpdatesWhenItStalls() {
        world("period_ms = 100, calls_per_s = 1000");
        watch(1);
        time.runUntil(100);
        world.directory().setStalled(true);
        world.directory().set(world.servers().get(2), Availability.DRAINING);
        time.runUntil(1_000);
        assertEquals(List.of("changes 0"), updates);
        world.directory().setDown(true);
        assertEquals(2, updates.size());
        assertTrue(updates.get(1).startsWith("ended"));
    }

    @Test
    public void aWatchThatIsFarBehindGetsAFullUpdate() {
        world("period_ms = 100, calls_per_s = 1000");
        Server s = world.servers().get(0);
        for (int i = 0; i < 5_000; i++) {
            world.directory().set(s, i % 2 == 0 ? Availability.DRAINING : Availability.UP);
        }
        watch(1);
        time.runUntil(50);
        assertEquals(List.of("full 4"), updates);
    }
}
