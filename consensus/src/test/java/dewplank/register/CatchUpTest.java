package dewplank.register;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * A member that comes back after thousands of changes to a value of hundreds of routes, while changes go on: time and
 * bytes until it knows a value as new as the newest at its start, and how far behind it stays. Virtual time; a link
 * takes 2 ms and carries 1 Gbit/s, a store takes 5 ms.
 */
class CatchUpTest {
    private static final int VALUE_BYTES = 200_000;
    private static final double LINK_MS = 2;
    private static final double BYTES_PER_MS = 125_000;
    private static final double STORE_MS = 5;
    private static final double TICK_MS = 25;
    private static final double SWEEP_MS = 400;
    private static final double FEW_MS = 200; // five changes a second

    /** The longest period of a sweep, three ways, one of them with a value, and the steps' ticks. */
    private static final double CAUGHT_UP_MS = SWEEP_MS * 1.25 + 3 * LINK_MS + VALUE_BYTES / BYTES_PER_MS + 2 * TICK_MS;

    /**
     * Values sent for each change to one that cannot accept it, as its disk is full or the acceptance is meant for the
     * disk it lost: that one, and one fetch; and the one fetch in two seconds that was under way before.
     */
    private static final double ACCEPT_AND_FETCH = 2.11; // ten changes: 2 + 1 / 10

    /** What an unlucky fetch waits for besides: a round's time, and a sweep to hear of the value again. */
    private static final double FETCHED_ANEW_MS = 250 + SWEEP_MS * 1.25;

    private final EventQueue events = new EventQueue();
    private final SplittableRandom random = new SplittableRandom(9);
    private final List<Node> nodes = new ArrayList<>();
    private double changeEveryMs;
    private long changes;
    private boolean losesValues;
    private boolean losesAccepts;
    private int changers = 2;

    /** A process with its disk and the bytes of values sent to it. */
    private final class Node implements Register.Effects {
        private final String address;
        private AcceptorSet initial;
        private DurableState disk;
        private Register register;
        private int life;
        private boolean full;
        private long received;
        private double bytesPerMs = BYTES_PER_MS;
        private double busyUntil;

        Node(int index) {
            address = ModelScenario.address(index);
            disk = DurableState.fresh(ModelScenario.identity(index, 0));
        }

        void start() {
            life++;
            register =
                    new Register(new Register.Settings(address, initial, 250, 10, 120, SWEEP_MS), disk, random.split());
            tick(life);
        }

        private void tick(int inLife) {
            if (register != null && life == inLife) {
                register.tick(events.now(), this);
                if (register.chosenValue() == null) {
                    register.queryStatus(events.now(), nodes.get(random.nextInt(nodes.size())).address, this);
                }
                events.after(TICK_MS, () -> tick(inLife));
            }
        }

        private void receive(RegisterMessage message) {
            if (register != null) {
                register.handleMessage(events.now(), message, this);
            }
        }

        @Override
        public void send(String to, RegisterMessage message) {
            Node target = nodes.get(to.charAt(0) - 'a');
            int bytes = bytes(message);
            boolean slow = target.bytesPerMs < BYTES_PER_MS;
            if (losesValues && message instanceof StatusReport && bytes > 0
                    || losesAccepts && message instanceof Accept && slow) {
                return;
            }
            if (target == this) {
                events.after(0, () -> target.receive(message));
                return;
            }
            target.received += bytes;
            if (bytes > 0) {
                target.busyUntil = Math.max(events.now(), target.busyUntil) + bytes / target.bytesPerMs;
            }
            double arrives = bytes > 0 ? target.busyUntil - events.now() : 0;
            events.after(arrives + LINK_MS, () -> target.receive(message));
        }

        @Override
        public void store(long ticket, DurableState state) {
            int inLife = life;
            events.after(STORE_MS, () -> {
                if (register != null && life == inLife && full) {
                    register.handleStoreFailed(events.now(), ticket, this);
                } else if (register != null && life == inLife) {
                    disk = state;
                    register.handleStored(events.now(), ticket, this);
                }
            });
        }

        @Override
        public void learned(RegisterValue value) {
            // What is known is looked at.
        }

        @Override
        public void completed(long request, Outcome outcome) {
            // Changes go on whatever comes of one.
        }

        long version() {
            return register == null || register.chosenValue() == null ? 0 : versionOf(register.chosenValue());
        }
    }

    private static int bytes(RegisterMessage message) {
        RegisterValue value = null;
        if (message instanceof Accept) {
            value = ((Accept) message).value();
        } else if (message instanceof Promise) {
            value = ((Promise) message).acceptedValue();
        } else if (message instanceof StatusReport) {
            value = ((StatusReport) message).chosenValue();
        }
        return value == null || value.payload() == null ? 0 : value.payload().length;
    }

    private static long versionOf(RegisterValue value) {
        return ByteBuffer.wrap(value.payload()).getLong();
    }

    private void begin(double everyMs, int changesBefore) {
        changeEveryMs = everyMs;
        List<AcceptorId> members = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            nodes.add(new Node(index));
            members.add(ModelScenario.acceptor(index, 0));
        }
        for (Node node : nodes) {
            node.initial = AcceptorSet.of(members);
            node.start();
        }
        keepChanging();
        events.playUntil(1000);
        nodes.get(2).register = null;
        events.playUntil(1000 + changesBefore * everyMs);
    }

    /** A change at a member that stays, each so often; the payload is as long as that of hundreds of routes. */
    private void keepChanging() {
        changes++;
        Node node = nodes.get((int) (changes % changers));
        byte[] payload = new byte[VALUE_BYTES];
        ByteBuffer.wrap(payload).putLong(changes);
        node.register.change(events.now(), changes, old -> new Decision(payload, "taken"), events.now() + 2000, node);
        events.after(changeEveryMs, this::keepChanging);
    }

    private double caughtUpAfter(Node node) {
        long newest = nodes.get(0).version();
        double began = events.now();
        node.received = 0;
        node.start();
        while (node.version() < newest) {
            Assertions.assertTrue(events.playOne(began + 60_000), "never catches up");
        }
        return events.now() - began;
    }

    /** How many changes it lags at most for two seconds, and that it goes on being sent no more than it needs. */
    private void checkStays(String what, Node node, double caughtUpMs, double withinMs, double valuesEach) {
        long first = node.received;
        long lag = 0;
        double end = events.now() + 2000;
        long from = nodes.get(0).version();
        while (events.playOne(end)) {
            lag = Math.max(lag, nodes.get(0).version() - node.version());
        }
        double values = (double) (node.received - first)
                / VALUE_BYTES
                / Math.max(1, nodes.get(0).version() - from);
        System.out.printf(
                "%s: caught up after %.0f ms and %d bytes; then %d changes behind at most, %.2f values sent "
                        + "for each change%n",
                what, caughtUpMs, first, lag, values);
        Assertions.assertTrue(caughtUpMs < withinMs, what + " took " + caughtUpMs);
        Assertions.assertTrue(first <= 6L * VALUE_BYTES, what + " took " + first + " bytes");
        Assertions.assertTrue(values < valuesEach, what + " is sent " + values);
    }

    /** All that a process holds, printed whole: as much after thousands of changes as after the first hundred. */
    @Test
    void nothingGrowsInAProcess() {
        begin(FEW_MS, 100);
        nodes.get(2).start();
        events.playUntil(events.now() + 1000);
        int early = RegisterImage.print(nodes.get(0).register).length();
        events.playUntil(events.now() + 3000 * FEW_MS);
        int late = RegisterImage.print(nodes.get(0).register).length();
        Assertions.assertTrue(late < early * 1.5, "grew from " + early + " to " + late);
    }

    /** A sender that restarted and forgot what it told is not asked again and again. */
    @Test
    void anAnswerWithoutAValueIsNotAskedForAtOnce() {
        RecordedOutput out = new RecordedOutput();
        AcceptorId other = new AcceptorId("b", "2");
        Register register = new Register(
                new Register.Settings("a", AcceptorSet.of(List.of(other)), 250, 10, 120, SWEEP_MS),
                DurableState.fresh("1"),
                random);
        Ballot told = new Ballot(7, "b.1");
        register.handleMessage(0, new Chosen("b", "2", "1", told, 3), out);
        for (int answer = 0; answer < 3; answer++) {
            register.handleMessage(
                    1, new StatusReport("b", "2", "1", RequestIds.FETCH, told, null, Ballot.NONE, 0, null), out);
        }
        Assertions.assertEquals(1, out.messages(StatusQuery.class).size());
        register.handleMessage(2, new Chosen("b", "2", "1", told, 3), out);
        Assertions.assertEquals(2, out.messages(StatusQuery.class).size());
    }

    @AfterEach
    void nothingWaits() {
        for (Node node : nodes) {
            Assertions.assertTrue(node.register.chosenValue() != null);
        }
    }

    @Test
    void anOldDiskCatchesUp() {
        begin(FEW_MS, 3000);
        double took = caughtUpAfter(nodes.get(2));
        checkStays("old disk, 3000 changes behind", nodes.get(2), took, CAUGHT_UP_MS, 1.5);
    }

    @Test
    void anEmptyDiskCatchesUp() {
        begin(FEW_MS, 3000);
        Node node = nodes.get(2);
        node.disk = DurableState.fresh("other");
        node.initial = AcceptorSet.of(List.of());
        double took = caughtUpAfter(node);
        checkStays("empty disk, 3000 changes behind", node, took, CAUGHT_UP_MS, ACCEPT_AND_FETCH);
    }

    @Test
    void aFullDiskStillLearns() {
        begin(FEW_MS, 1000);
        nodes.get(2).full = true;
        double took = caughtUpAfter(nodes.get(2));
        checkStays("full disk, 1000 changes behind", nodes.get(2), took, CAUGHT_UP_MS, ACCEPT_AND_FETCH);
    }

    /** A link on which a value takes 67 ms, 40 changes a second: news of each, and only fetched values. */
    @Test
    void changesFasterThanTheValueTravelsDoNotHoldItBack() {
        changers = 1;
        begin(25, 1000);
        Node node = nodes.get(2);
        node.bytesPerMs = 3000;
        losesAccepts = true;
        double took = caughtUpAfter(node);
        checkStays("news faster than values", node, took, CAUGHT_UP_MS + VALUE_BYTES / node.bytesPerMs, 1);
        Assertions.assertTrue(nodes.get(0).version() - node.version() < 10, "falls behind");
    }

    @Test
    void aLostAnswerIsFetchedAnew() {
        begin(FEW_MS, 200);
        losesValues = true;
        events.after(300, () -> losesValues = false);
        double took = caughtUpAfter(nodes.get(2));
        checkStays("answers lost for 300 ms", nodes.get(2), took, CAUGHT_UP_MS + FETCHED_ANEW_MS, 1.5);
    }

    @Test
    void aSenderThatDiesIsReplacedByAnother() {
        begin(FEW_MS, 200);
        changeEveryMs = 1e9;
        events.playUntil(events.now() + 1000);
        Node node = nodes.get(2);
        node.received = 0;
        losesValues = true;
        double began = events.now();
        long newest = nodes.get(0).version();
        node.start();
        events.playUntil(began + 100);
        Assertions.assertTrue(node.version() < newest);
        losesValues = false;
        nodes.get(0).register = null;
        while (node.version() < newest) {
            Assertions.assertTrue(events.playOne(began + 60_000), "never catches up");
        }
        double took = events.now() - began;
        nodes.get(0).start();
        System.out.printf("sender killed: caught up after %.0f ms%n", took);
        Assertions.assertTrue(took < CAUGHT_UP_MS + FETCHED_ANEW_MS, "took " + took);
    }
}
