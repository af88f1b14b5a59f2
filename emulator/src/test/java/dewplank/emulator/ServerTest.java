package dewplank.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.Server.Reply;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the model of one server: response times, rejections and the effects of faults. */
class ServerTest {
    private static final double WORK_MS = 100;
    private static final double DEADLINE_MS = 60_000;
    private static final int SLOTS = 1_000;
    /** Largest relative deviation of a request's work, depending on the server. */
    private static final double MAX_WORK_DEVIATION = 0.15;

    private final VirtualTime time = new VirtualTime();
    private final List<RecordedEvent> events = new ArrayList<>();
    private final List<Reply> replies = new ArrayList<>();
    private final List<Double> responseTimesMs = new ArrayList<>();

    /** An environment with one server, which has one core, many slots and no queue. */
    private EmulatedEnvironmentBuilder world(String machineKeys) {
        String machine = "{ cores = 1, slots_per_core = %d, queue_per_core = 0, %s }".formatted(SLOTS, machineKeys);
        return new EmulatedEnvironmentBuilder(time, events::add)
                .servers("count = 1\nmachine = [ " + machine + " ]")
                .requests(WORK_MS, DEADLINE_MS)
                .seed(7);
    }

    private static Server server(EmulatedEnvironment environment) {
        return environment.servers().get(0);
    }

    private void offer(EmulatedEnvironment environment, long id, double work) {
        double sentAtMs = environment.now();
        ClientAttempt attempt = new ClientAttempt(id, 0, id, work, 0, false, sentAtMs, sentAtMs + DEADLINE_MS, null);
        server(environment).offer(attempt, 0, (reply, load) -> {
            replies.add(reply);
            responseTimesMs.add(environment.now() - sentAtMs);
        });
    }

    private long countOf(Type type) {
        return events.stream().filter(event -> event.type() == type).count();
    }

    private double meanResponseTimeMs() {
        return responseTimesMs.stream().mapToDouble(value -> value).average().orElse(0);
    }

    @Nested
    class Capacity {
        private static final int REQUESTS = 60_000;
        private static final double UTILIZATION = 0.6;

        /** The mean response time of M/M/1 under processor sharing is work / (1 - utilization). */
        @Test
        void theMeanResponseTimeMatchesProcessorSharing() {
            EmulatedEnvironment environment = world("error_rate = 0").build();
            DoubleSupplier gap = RandomStreams.exponential(environment.randomStreams().stream("gap", 0));
            DoubleSupplier work = RandomStreams.exponential(environment.randomStreams().stream("work", 0));
            double atMs = 0;
            for (int request = 0; request < REQUESTS; request++) {
                atMs += gap.getAsDouble() * WORK_MS / UTILIZATION;
                double drawnWork = WORK_MS * work.getAsDouble();
                long id = request;
                time.after(atMs, () -> offer(environment, id, drawnWork));
            }
            time.runUntil(atMs + DEADLINE_MS);
            assertEquals(REQUESTS, responseTimesMs.size());
            assertEquals(WORK_MS / (1 - UTILIZATION), meanResponseTimeMs(), 15);
        }

        @Test
        void requestsBeyondSlotsAndQueueAreRejected() {
            EmulatedEnvironment environment =
                    world("name = \"small\", speed = 1").build();
            for (int id = 0; id < SLOTS + 3; id++) {
                offer(environment, id, WORK_MS);
            }
            assertEquals(List.of(Reply.NEVER_RAN, Reply.NEVER_RAN, Reply.NEVER_RAN), replies);
            assertEquals(3, countOf(Type.REJECTED));
        }

        /** Ten requests that wait on dependencies take no longer than one: they hold slots, but no core. */
        @Test
        void aRequestThatWaitsOnDependenciesHoldsASlotButNoCore() {
            EmulatedEnvironment environment =
                    world("cold_s = 0").requestClass("waits_ms = 1000").build();
            for (int id = 0; id < 10; id++) {
                offer(environment, id, 1);
            }
            time.runUntil(15);
            assertEquals(10, server(environment).requestsInFlight());
            offer(environment, 11, 1);
            time.runUntil(20);
            assertEquals(0, server(environment).backlog(), 1e-6);
            time.runUntil(DEADLINE_MS);
            assertEquals(11, replies.size());
            assertTrue(meanResponseTimeMs() > 300, () -> "took " + responseTimesMs);
        }

        @Test
        void aCachedKeySavesWorkUntilItIsEvictedOrExpires() {
            EmulatedEnvironment environment = world("cold_s = 0")
                    .topLevel("subjects = { keys = 5, spared = 0.5, fresh_s = 2, per_core = 1 }")
                    .build();
            double firstMs = measureResponseTimeMs(environment, 1, 7);
            assertEquals(firstMs / 2, measureResponseTimeMs(environment, 1, 7), 1e-6);
            measureResponseTimeMs(environment, 1, 8); // evicts key 7: the cache has one entry
            assertEquals(firstMs, measureResponseTimeMs(environment, 1, 7), 1e-6);
            time.runUntil(time.now() + 2_100);
            assertEquals(firstMs, measureResponseTimeMs(environment, 1, 7), 1e-6);
        }

        private double measureResponseTimeMs(EmulatedEnvironment environment, long id, int subjectKey) {
            double sentAtMs = environment.now();
            double[] responseTimeMs = new double[1];
            ClientAttempt attempt = new ClientAttempt(
                    id, 0, id, WORK_MS, 0, false, sentAtMs, sentAtMs + DEADLINE_MS, null, -1, subjectKey);
            server(environment).offer(attempt, 0, (reply, load) -> responseTimeMs[0] = environment.now() - sentAtMs);
            time.runUntil(sentAtMs + 1_000);
            return responseTimeMs[0];
        }
    }

    @Nested
    class Faults {
        @Test
        void aCrashedProcessResetsItsRequestsButAVanishedMachineSendsNothing() {
            EmulatedEnvironment environment = world("cold_s = 0").build();
            offer(environment, 1, WORK_MS);
            server(environment).crash();
            assertEquals(List.of(Reply.RESET), replies);
            server(environment).start();
            offer(environment, 2, WORK_MS);
            server(environment).vanish();
            time.runUntil(10_000);
            assertEquals(List.of(Reply.RESET), replies);
            assertEquals(0, countOf(Type.EFFECT));
        }

        @Test
        void aColdServerIsSlowerAndCollapsesUnderOverload() {
            EmulatedEnvironment environment =
                    world("cold_s = 20, cold_share = 0.25").build();
            Server server = server(environment);
            server.crash();
            server.start();
            offer(environment, 1, WORK_MS);
            time.runUntil(5_000);
            assertTrue(
                    responseTimesMs.get(0) > 350 && responseTimesMs.get(0) < 480,
                    () -> "took " + responseTimesMs.get(0));
            for (int id = 2; id < 2_000 && server.state() == Server.State.UP; id++) {
                offer(environment, id, WORK_MS);
            }
            assertEquals(Server.State.CRASHED, server.state());
            assertEquals(1, countOf(Type.SERVER_COLLAPSED));
        }

        @Test
        void anOverloadedServerSlowsDownAndRecoversWhenItHasFewerRequests() {
            EmulatedEnvironment environment = world(
                            "choke = { at = 10, over_s = 1, slower = 4, rest_s = 2, below = 0.5, most_s = 100 }")
                    .build();
            Server server = server(environment);
            for (int id = 0; id < 20; id++) {
                offer(environment, id, 200);
            }
            time.runUntil(900);
            assertEquals(1, server.capacity(), 1e-9);
            time.runUntil(1_100);
            assertEquals(0.25, server.capacity(), 1e-9);
            time.runUntil(60_000);
            assertEquals(1, server.capacity(), 1e-9);
            assertEquals(20, replies.size());
        }

        @Test
        void workStopsDuringAPauseAndContinuesAfterIt() {
            double speed = 2;
            double pauseMs = 200;
            EmulatedEnvironment environment = world("speed = 2").build();
            offer(environment, 1, WORK_MS);
            time.runUntil(10);
            server(environment).pause(pauseMs);
            time.runUntil(1_000);
            double minMs = pauseMs + WORK_MS * (1 - MAX_WORK_DEVIATION) / speed;
            double maxMs = pauseMs + WORK_MS * (1 + MAX_WORK_DEVIATION) / speed + 1;
            assertTrue(
                    responseTimesMs.get(0) >= minMs && responseTimesMs.get(0) <= maxMs,
                    () -> "took " + responseTimesMs);
        }
    }
}
