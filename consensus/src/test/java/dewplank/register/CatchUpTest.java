package dewplank.register;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Restarts a member after hundreds or thousands of changes, while changes continue. The value has the size of hundreds
 * of routes. Measures the time and the bytes until the member has the value that was newest at its restart, and its lag
 * afterwards. Runs in virtual time; a link has a delay of 2 ms and 1 Gbit/s, a store takes 5 ms.
 */
class CatchUpTest {
    private static final int VALUE_BYTES = 200_000;
    private static final double LINK_DELAY_MS = 2;
    private static final double BYTES_PER_MS = 125_000;
    private static final double STORE_MS = 5;
    private static final double TICK_MS = 25;
    private static final double ANTI_ENTROPY_PERIOD_MS = 400;
    private static final double ROUND_TIMEOUT_MS = 250;
    private static final double RETRY_BACKOFF_MIN_MS = 10;
    private static final double RETRY_BACKOFF_MAX_MS = 120;
    private static final double CHANGE_INTERVAL_MS = 200;

    /**
     * The maximum catch-up time: the longest anti-entropy interval, three message delays, the transfer of one value,
     * and two ticks.
     */
    private static final double MAX_CATCH_UP_MS =
            ANTI_ENTROPY_PERIOD_MS * 1.25 + 3 * LINK_DELAY_MS + VALUE_BYTES / BYTES_PER_MS + 2 * TICK_MS;

    /**
     * The maximum number of values sent per change to a process that cannot accept the change because its disk is full
     * or because the accept request is addressed to its lost disk: one by the accept request and one by a fetch. In
     * addition, one fetch may be in flight at the start of the two seconds.
     */
    private static final double MAX_VALUES_BY_ACCEPT_AND_FETCH = 2.11; // ten changes: 2 + 1 / 10

    /** The delay added by a lost fetch: a round timeout, and an anti-entropy interval until the next announcement. */
    private static final double REFETCH_MS = ROUND_TIMEOUT_MS + ANTI_ENTROPY_PERIOD_MS * 1.25;

    private final EventQueue events = new EventQueue();
    private final SplittableRandom random = new SplittableRandom(9);
    private final List<Node> nodes = new ArrayList<>();
    private double changeIntervalMs;
    private long changes;
    private boolean dropsReportedValues;
    private boolean dropsAccepts;
    private int proposingNodes = 2;

    /** A process with its disk, which counts the bytes of values sent to it. */
    private final class Node implements Register.Effects<String> {
        private final String address;
        private AcceptorSet initialAcceptors;
        private DurableState disk;
        private Register<String> register;
        private int incarnation;
        private boolean isDiskFull;
        private long receivedBytes;
        private double bytesPerMs = BYTES_PER_MS;
        private double linkBusyUntilMs;

        Node(int index) {
            address = ModelScenario.address(index);
            disk = DurableState.fresh(ModelScenario.identity(index, 0));
        }

        void start() {
            incarnation++;
            register = new Register<>(settings(address, initialAcceptors), disk, random.split());
            tick(incarnation);
        }

        private void tick(int inIncarnation) {
            if (register != null && incarnation == inIncarnation) {
                register.tick(events.nowMs(), this);
                if (register.chosenValue() == null) {
                    register.queryStatus(events.nowMs(), nodes.get(random.nextInt(nodes.size())).address, this);
                }
                events.after(TICK_MS, () -> tick(inIncarnation));
            }
        }

        private void receive(RegisterMessage message) {
            if (register != null) {
                register.handleMessage(events.nowMs(), message, this);
            }
        }

        @Override
        public void send(String to, RegisterMessage message) {
            Node target = nodes.get(to.charAt(0) - 'a');
            int bytes = bytes(message);
            boolean isSlowLink = target.bytesPerMs < BYTES_PER_MS;
            if (dropsReportedValues && message instanceof StatusReport && bytes > 0
                    || dropsAccepts && message instanceof Accept && isSlowLink) {
                return;
            }
            if (target == this) {
                events.after(0, () -> target.receive(message));
                return;
            }
            target.receivedBytes += bytes;
            if (bytes > 0) {
                target.linkBusyUntilMs = Math.max(events.nowMs(), target.linkBusyUntilMs) + bytes / target.bytesPerMs;
            }
            double transferMs = bytes > 0 ? target.linkBusyUntilMs - events.nowMs() : 0;
            events.after(transferMs + LINK_DELAY_MS, () -> target.receive(message));
        }

        @Override
        public void store(long storeId, DurableState state) {
            int inIncarnation = incarnation;
            events.after(STORE_MS, () -> {
                if (register != null && incarnation == inIncarnation && isDiskFull) {
                    register.handleStoreFailed(events.nowMs(), storeId, this);
                } else if (register != null && incarnation == inIncarnation) {
                    disk = state;
                    register.handleStored(events.nowMs(), storeId, this);
                }
            });
        }

        @Override
        public void learned(RegisterValue value) {
            // The test polls the chosen value.
        }

        @Override
        public void completed(long requestId, Outcome<String> outcome) {
            // Changes continue regardless of the outcome.
        }

        long version() {
            return register == null || register.chosenValue() == null ? 0 : versionOf(register.chosenValue());
        }
    }

    private static Register.Settings settings(String address, AcceptorSet initialAcceptors) {
        return new Register.Settings(
                address,
                initialAcceptors,
                ROUND_TIMEOUT_MS,
                RETRY_BACKOFF_MIN_MS,
                RETRY_BACKOFF_MAX_MS,
                ANTI_ENTROPY_PERIOD_MS);
    }

    private static int bytes(RegisterMessage message) {
        RegisterValue value = null;
        if (message instanceof Accept accept) {
            value = accept.value();
        } else if (message instanceof Promise promise) {
            value = promise.acceptedValue();
        } else if (message instanceof StatusReport report) {
            value = report.chosenValue();
        }
        return value == null || value.payload() == null ? 0 : value.payload().length;
    }

    private static long versionOf(RegisterValue value) {
        return ByteBuffer.wrap(value.payload()).getLong();
    }

    private void startFleet(double intervalMs, int changesBefore) {
        changeIntervalMs = intervalMs;
        List<AcceptorId> members = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            nodes.add(new Node(index));
            members.add(ModelScenario.acceptor(index, 0));
        }
        for (Node node : nodes) {
            node.initialAcceptors = AcceptorSet.of(members);
            node.start();
        }
        changePeriodically();
        events.runUntil(1000);
        nodes.get(2).register = null;
        events.runUntil(1000 + changesBefore * intervalMs);
    }

    /** Changes the value periodically at a member that stays up; the payload has the size of hundreds of routes. */
    private void changePeriodically() {
        changes++;
        Node node = nodes.get((int) (changes % proposingNodes));
        byte[] payload = new byte[VALUE_BYTES];
        ByteBuffer.wrap(payload).putLong(changes);
        node.register.change(
                events.nowMs(), changes, old -> new Decision<>(payload, "applied"), events.nowMs() + 2000, node);
        events.after(changeIntervalMs, this::changePeriodically);
    }

    private double catchUpMs(Node node) {
        long newest = nodes.get(0).version();
        double startedAtMs = events.nowMs();
        node.receivedBytes = 0;
        node.start();
        while (node.version() < newest) {
            Assertions.assertTrue(events.runNext(startedAtMs + 60_000), "does not catch up");
        }
        return events.nowMs() - startedAtMs;
    }

    /** Measures the maximum lag over two seconds, and checks that the node is not sent more values than it needs. */
    private void checkLag(
            String scenario, Node node, double caughtUpMs, double maxCatchUpMs, double maxValuesPerChange) {
        long first = node.receivedBytes;
        long lag = 0;
        double end = events.nowMs() + 2000;
        long from = nodes.get(0).version();
        while (events.runNext(end)) {
            lag = Math.max(lag, nodes.get(0).version() - node.version());
        }
        double values = (double) (node.receivedBytes - first)
                / VALUE_BYTES
                / Math.max(1, nodes.get(0).version() - from);
        System.out.printf(
                "%s: caught up after %.0f ms and %d bytes; then at most %d changes behind, %.2f values sent "
                        + "per change%n",
                scenario, caughtUpMs, first, lag, values);
        Assertions.assertTrue(caughtUpMs < maxCatchUpMs, scenario + ", catch-up in ms: " + caughtUpMs);
        Assertions.assertTrue(first <= 6L * VALUE_BYTES, scenario + ", catch-up took " + first + " bytes");
        Assertions.assertTrue(values < maxValuesPerChange, scenario + ", values sent per change: " + values);
    }

    /** The printed state of a process is about as long after thousands of changes as after the first hundred. */
    @Test
    void processStateIsBounded() {
        startFleet(CHANGE_INTERVAL_MS, 100);
        nodes.get(2).start();
        events.runUntil(events.nowMs() + 1000);
        int early = RegisterSnapshot.print(nodes.get(0).register).length();
        events.runUntil(events.nowMs() + 3000 * CHANGE_INTERVAL_MS);
        int late = RegisterSnapshot.print(nodes.get(0).register).length();
        Assertions.assertTrue(late < early * 1.5, "grew from " + early + " to " + late);
    }

    /** A sender that restarted and lost the value that it announced is not queried in a loop. */
    @Test
    void reportWithoutAValueDoesNotTriggerAnImmediateFetch() {
        RecordedEffects effects = new RecordedEffects();
        AcceptorId other = new AcceptorId("b", "2");
        Register<String> register =
                new Register<>(settings("a", AcceptorSet.of(List.of(other))), DurableState.fresh("1"), random);
        Ballot announced = new Ballot(7, "b.1");
        register.handleMessage(0, new Chosen("b", "2", "1", announced, 3), effects);
        for (int reply = 0; reply < 3; reply++) {
            register.handleMessage(
                    1, new StatusReport("b", "2", "1", QueryIds.FETCH, announced, null, Ballot.NONE, 0, null), effects);
        }
        Assertions.assertEquals(1, effects.messages(StatusQuery.class).size());
        register.handleMessage(2, new Chosen("b", "2", "1", announced, 3), effects);
        Assertions.assertEquals(2, effects.messages(StatusQuery.class).size());
    }

    @AfterEach
    void checkThatEveryProcessHasAValue() {
        for (Node node : nodes) {
            Assertions.assertTrue(node.register.chosenValue() != null);
        }
    }

    @Test
    void staleDiskCatchesUp() {
        startFleet(CHANGE_INTERVAL_MS, 3000);
        double tookMs = catchUpMs(nodes.get(2));
        checkLag("stale disk, 3000 changes behind", nodes.get(2), tookMs, MAX_CATCH_UP_MS, 1.5);
    }

    @Test
    void emptyDiskCatchesUp() {
        startFleet(CHANGE_INTERVAL_MS, 3000);
        Node node = nodes.get(2);
        node.disk = DurableState.fresh("other");
        node.initialAcceptors = AcceptorSet.of(List.of());
        double tookMs = catchUpMs(node);
        checkLag("empty disk, 3000 changes behind", node, tookMs, MAX_CATCH_UP_MS, MAX_VALUES_BY_ACCEPT_AND_FETCH);
    }

    @Test
    void processWithAFullDiskCatchesUp() {
        startFleet(CHANGE_INTERVAL_MS, 1000);
        nodes.get(2).isDiskFull = true;
        double tookMs = catchUpMs(nodes.get(2));
        checkLag(
                "full disk, 1000 changes behind",
                nodes.get(2),
                tookMs,
                MAX_CATCH_UP_MS,
                MAX_VALUES_BY_ACCEPT_AND_FETCH);
    }

    /** A value takes 67 ms on the link, 40 changes per second are announced, and values arrive only by fetches. */
    @Test
    void frequentChangesOnASlowLinkDoNotDelayCatchUp() {
        proposingNodes = 1;
        startFleet(25, 1000);
        Node node = nodes.get(2);
        node.bytesPerMs = 3000;
        dropsAccepts = true;
        double tookMs = catchUpMs(node);
        checkLag("announcements faster than values", node, tookMs, MAX_CATCH_UP_MS + VALUE_BYTES / node.bytesPerMs, 1);
        Assertions.assertTrue(nodes.get(0).version() - node.version() < 10, "the lag grows");
    }

    @Test
    void lostReportIsFetchedAgain() {
        startFleet(CHANGE_INTERVAL_MS, 200);
        dropsReportedValues = true;
        events.after(300, () -> dropsReportedValues = false);
        double tookMs = catchUpMs(nodes.get(2));
        checkLag("reports lost for 300 ms", nodes.get(2), tookMs, MAX_CATCH_UP_MS + REFETCH_MS, 1.5);
    }

    @Test
    void fetchFailsOverWhenTheSenderIsKilled() {
        startFleet(CHANGE_INTERVAL_MS, 200);
        changeIntervalMs = 1e9;
        events.runUntil(events.nowMs() + 1000);
        Node node = nodes.get(2);
        node.receivedBytes = 0;
        dropsReportedValues = true;
        double startedAtMs = events.nowMs();
        long newest = nodes.get(0).version();
        node.start();
        events.runUntil(startedAtMs + 100);
        Assertions.assertTrue(node.version() < newest);
        dropsReportedValues = false;
        nodes.get(0).register = null;
        while (node.version() < newest) {
            Assertions.assertTrue(events.runNext(startedAtMs + 60_000), "does not catch up");
        }
        double tookMs = events.nowMs() - startedAtMs;
        nodes.get(0).start();
        System.out.printf("sender killed: caught up after %.0f ms%n", tookMs);
        Assertions.assertTrue(tookMs < MAX_CATCH_UP_MS + REFETCH_MS, "took " + tookMs);
    }
}
