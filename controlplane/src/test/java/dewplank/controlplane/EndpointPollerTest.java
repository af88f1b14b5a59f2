package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.message.Endpoint;
import dewplank.message.EndpointList;
import dewplank.message.EndpointListVersion;
import dewplank.net.Scheduler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Under whose lease the list is told, in virtual time: the platform answers when the test lets it. */
class EndpointPollerTest {
    private static final double DRAIN_MS = 3_000;
    /** The first question under a number and the one that fails last each wait for their turn: 400 ms and a look. */
    private static final double ASKING_MS = 2 * (400 + 50);

    private record Task(double at, long order, Runnable action) {}

    private static final class VirtualTime implements Scheduler {
        private final PriorityQueue<Task> tasks =
                new PriorityQueue<>(Comparator.comparingDouble(Task::at).thenComparingLong(Task::order));
        private double now;
        private long order;

        @Override
        public double now() {
            return now;
        }

        @Override
        public Timer after(double ms, Runnable action) {
            Task task = new Task(now + ms, order++, action);
            tasks.add(task);
            return () -> tasks.remove(task);
        }

        @Override
        public void execute(Runnable task) {
            after(0, task);
        }

        void run(double ms) {
            double end = now + ms;
            while (!tasks.isEmpty() && tasks.peek().at() <= end) {
                Task task = tasks.poll();
                now = Math.max(now, task.at());
                task.action().run();
            }
            now = end;
        }
    }

    private static final class Held implements EndpointPoller.Duty {
        private boolean held = true;
        private long number = 7;
        private final List<Double> pauses = new ArrayList<>();

        @Override
        public boolean holds() {
            return held;
        }

        @Override
        public long fencingNumber() {
            return number;
        }

        @Override
        public void pause(double ms) {
            pauses.add(ms);
            held = false;
        }

        void wonAgain() {
            number++;
            held = true;
        }
    }

    private final VirtualTime time = new VirtualTime();
    private final Held duty = new Held();
    private final Deque<PlatformClient.Ended> asked = new ArrayDeque<>();
    private final List<EndpointList> told = new ArrayList<>();
    private final EndpointPoller lister = new EndpointPoller(time, asked::add, duty, DRAIN_MS, told::add);

    @BeforeEach
    void begin() {
        lister.start();
    }

    private static List<Endpoint> servers(int count) {
        List<Endpoint> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new Endpoint("i-" + i, "s", "10.0.0.1:" + i, "z", 8, false, 0, null));
        }
        return servers;
    }

    private void answer(int count) {
        asked.remove().listed(servers(count));
    }

    @Test
    void changesAreToldUnderTheNumberThatIsHeld() {
        answer(2);
        time.run(400);
        answer(2);
        time.run(400);
        answer(3);
        assertEquals(
                List.of(new EndpointListVersion(7, 1), new EndpointListVersion(7, 2)),
                told.stream().map(l -> l.version).toList());
        assertEquals(3, lister.newest().servers.size());
    }

    @Test
    void anAnswerUnderALapsedLeaseIsNotTold() {
        duty.held = false;
        answer(2);
        assertEquals(List.of(), told);
        assertEquals(EndpointListVersion.NONE, lister.newest().version);
    }

    /** A successor may have told a newer list between the question and its answer. */
    @Test
    void aListAskedForBeforeTheLeaseLapsedIsNotToldUnderANewNumber() {
        duty.wonAgain();
        answer(2);
        assertEquals(List.of(), told);
        time.run(400);
        answer(3);
        assertEquals(new EndpointListVersion(8, 1), told.get(0).version);
    }

    /** One that a predecessor told last may still be under way, and must not be taken for newer. */
    @Test
    void theFirstListUnderANumberIsToldEvenIfItSaysNothingNew() {
        answer(2);
        duty.wonAgain();
        time.run(400);
        answer(2);
        assertEquals(new EndpointListVersion(8, 1), lister.newest().version);
        assertFalse(lister.told(new EndpointList(new EndpointListVersion(7, 9), servers(1))));
        assertEquals(2, told.size());
    }

    private static List<Endpoint> engines(String... stages) {
        List<Endpoint> servers = new ArrayList<>();
        for (int i = 0; i < stages.length; i++) {
            servers.add(new Endpoint("i-" + i, "s", "10.0.0.1:" + i, "z", 8, false, 0, stages[i]));
        }
        return servers;
    }

    private List<String> stages() {
        return lister.newest().servers.stream().map(s -> s.stage).toList();
    }

    /** The platform's list lags: the stage that a server was ordered to is told at once, until the list agrees. */
    @Test
    void aStageThatIsKnownBetterIsToldUntilTheListAgrees() {
        asked.remove().listed(engines("decode", "decode"));
        lister.stageIs("i-1", Endpoint.CHANGING, 10_000);
        lister.tellStages(7);
        assertEquals(List.of("decode", Endpoint.CHANGING), stages());
        assertEquals(2, told.size());
        time.run(400);
        asked.remove().listed(engines("decode", "decode"));
        assertEquals(2, told.size(), "nothing new");
        lister.stageIs("i-1", "prefill", 10_000);
        lister.tellStages(7);
        assertEquals(List.of("decode", "prefill"), stages());
        time.run(400);
        asked.remove().listed(engines("decode", "decode"));
        assertEquals(List.of("decode", "prefill"), stages(), "the list lags");
        time.run(400);
        asked.remove().listed(engines("decode", "prefill"));
        time.run(400);
        asked.remove().listed(engines("decode", "decode"));
        assertEquals(List.of("decode", "decode"), stages(), "the list had agreed: it is believed again");
    }

    @Test
    void aStageIsNotToldUnderANumberThatIsNotHeldAndNotForEver() {
        asked.remove().listed(engines("decode"));
        duty.wonAgain();
        lister.stageIs("i-0", Endpoint.CHANGING, 1_000);
        lister.tellStages(7);
        lister.tellStages(8);
        assertEquals(List.of("decode"), stages());
        time.run(400);
        asked.remove().listed(engines("decode"));
        assertEquals(List.of(Endpoint.CHANGING), stages());
        time.run(400);
        asked.remove().listed(engines("decode"));
        time.run(400);
        asked.remove().listed(engines("decode"));
        assertEquals(List.of("decode"), stages(), "it has lapsed");
    }

    @Test
    void nothingIsAskedWithoutTheDuty() {
        answer(2);
        duty.held = false;
        time.run(5_000);
        assertTrue(asked.isEmpty());
    }

    /** Fails every question until the duty is laid down; how long that took. */
    private double untilLaidDown() {
        double start = time.now();
        int before = duty.pauses.size();
        while (duty.pauses.size() == before) {
            assertTrue(time.now() < start + 100_000, "never laid down");
            while (!asked.isEmpty()) {
                asked.remove().failed("no answer");
            }
            time.run(50);
        }
        return time.now() - start;
    }

    @Test
    void aHolderThatCannotReachThePlatformLaysTheDutyDown() {
        answer(2);
        double took = untilLaidDown();
        assertTrue(took >= DRAIN_MS / 2 && took <= DRAIN_MS / 2 + 500, "took " + took);
        assertEquals(List.of(DRAIN_MS), duty.pauses);
    }

    /** Where the platform is down for all, the duty goes round ever more slowly; an answer ends that. */
    @Test
    void theDutyDoesNotSpinWhileThePlatformIsDownForAll() {
        double[] patience = {1, 2, 4, 8, 16, 16};
        for (double each : patience) {
            double took = untilLaidDown();
            assertTrue(took >= each * DRAIN_MS / 2 && took <= each * DRAIN_MS / 2 + ASKING_MS, each + " took " + took);
            duty.wonAgain();
        }
        time.run(400);
        answer(2);
        assertTrue(untilLaidDown() <= DRAIN_MS / 2 + ASKING_MS);
    }

    @Test
    void failuresNowAndThenDoNotMoveTheDuty() {
        for (int i = 0; i < 100; i++) {
            if (i % 3 == 0) {
                asked.remove().listed(servers(2));
            } else {
                asked.remove().failed("status 429");
            }
            time.run(400);
        }
        assertEquals(List.of(), duty.pauses);
    }
}
