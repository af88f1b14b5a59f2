package dewplank.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.emulator.RecordedEvent.Type;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which updates the directory sends to its watches, and when. */
class EndpointDirectoryTest {
    private static final int CHANGES_BEYOND_HISTORY_SIZE = 5_000;
    private static final String FREQUENT_UPDATES = "period_ms = 100, calls_per_s = 1000";

    private final VirtualTime time = new VirtualTime();
    private final List<RecordedEvent> events = new ArrayList<>();
    private final List<String> updates = new ArrayList<>();

    /** An environment with four servers and two sidecars. */
    private EmulatedEnvironment environment(String directoryKeys) {
        return new EmulatedEnvironmentBuilder(time, events::add)
                .directory(directoryKeys)
                .servers("count = 4")
                .build();
    }

    private EndpointDirectory.Watch watch(EmulatedEnvironment environment, long sinceVersion) {
        return environment.directory().watch(0, sinceVersion, new EndpointDirectory.Watcher() {
            @Override
            public void updated(long version, boolean full, List<Endpoint> entries) {
                updates.add((full ? "full " : "changes ") + entries.size());
            }

            @Override
            public void onClosed() {
                updates.add("ended at %.0f".formatted(time.now()));
            }
        });
    }

    @Test
    void aLostServerIsRemovedAfterADelayUnlessItRestartsEarlier() {
        EmulatedEnvironment environment = environment("notice_s = 2, add_s = 0.5, " + FREQUENT_UPDATES);
        watch(environment, environment.directory().version());
        Server restarted = environment.servers().get(0);
        Server lost = environment.servers().get(1);
        restarted.crash();
        environment.scheduleCrashDetection(restarted);
        environment.restart(restarted, 100);
        lost.crash();
        environment.scheduleCrashDetection(lost);
        time.runUntil(900);
        assertEquals(List.of("changes 0", "changes 1"), updates); // the restarted server's new start time
        time.runUntil(4_000);
        assertEquals(List.of("changes 0", "changes 1", "changes 1"), updates);
        assertEquals(1, removalsOf(lost));
    }

    private long removalsOf(Server server) {
        return events.stream()
                .filter(event -> event.type() == Type.NOTIFIED_REMOVED && event.server() == server.number())
                .count();
    }

    @Test
    void queuedCallsFailAtTheirTimeout() {
        EmulatedEnvironment environment = environment("calls_per_s = 2, timeout_ms = 1000");
        for (int call = 0; call < 5; call++) {
            watch(environment, 1);
        }
        time.runUntil(3_000);
        assertEquals(3, updates.stream().filter("changes 0"::equals).count());
        assertEquals(2, updates.stream().filter("ended at 1000"::equals).count());
    }

    @Test
    void watchesReceiveNoUpdatesWhileTheDirectoryIsStalledAndCloseWhenItIsDown() {
        EmulatedEnvironment environment = environment(FREQUENT_UPDATES);
        watch(environment, 1);
        time.runUntil(100);
        environment.directory().setStalled(true);
        environment.directory().set(environment.servers().get(2), Availability.DRAINING);
        time.runUntil(1_000);
        assertEquals(List.of("changes 0"), updates);
        environment.directory().setDown(true);
        assertEquals(2, updates.size());
        assertTrue(updates.get(1).startsWith("ended"), updates::toString);
    }

    @Test
    void aWatchWhoseVersionPrecedesTheHistoryReceivesAFullUpdate() {
        EmulatedEnvironment environment = environment(FREQUENT_UPDATES);
        Server server = environment.servers().get(0);
        for (int change = 0; change < CHANGES_BEYOND_HISTORY_SIZE; change++) {
            environment.directory().set(server, change % 2 == 0 ? Availability.DRAINING : Availability.UP);
        }
        watch(environment, 1);
        time.runUntil(50);
        assertEquals(List.of("full 4"), updates);
    }
}
