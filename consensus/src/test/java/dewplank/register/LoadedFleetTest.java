package dewplank.register;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Eight operators that order as fast as they are answered, at all processes: repairs and deadlines still hold. */
class LoadedFleetTest {
    private static final int OPERATORS = 8;
    private static final double PATIENCE = 900;
    private static final double REPAIR_PATIENCE = 1500;
    private static final double LOADED_FROM = 1000;
    private static final double TICK = 50;
    private static final int SEEDS = 40;

    /** Half of what the fleet's pages give for catching up after a loss. */
    private static final double REPAIRED_WITHIN = 2000;

    private SimulatedFleet fleet;
    private SplittableRandom random;
    private int confirmed;
    private int version;

    private void begin(int size, int members, long seed) {
        random = new SplittableRandom(seed);
        fleet = new SimulatedFleet(size, members, new SimulationRules(false, false, false), random.split());
        for (int operator = 0; operator < OPERATORS; operator++) {
            order();
        }
        fleet.events().playUntil(LOADED_FROM);
        confirmed = 0;
    }

    private SimulatedProcess process(int index) {
        return fleet.processes().get(index);
    }

    /** The payload stays small: each order is refused, which takes the same rounds. */
    private void order() {
        version++;
        SimulatedProcess asked = fleet.any(random);
        if (!asked.isUp()) {
            fleet.events().after(1, this::order);
            return;
        }
        fleet.change(asked, version, -1, PATIENCE, outcome -> {
            confirmed += outcome instanceof Outcome.Confirmed ? 1 : 0;
            fleet.events().after(1, this::order);
        });
    }

    private double settledAt(int at, long generation) {
        while (process(at).register().acceptors().generation() < generation) {
            Assertions.assertTrue(
                    fleet.events().playOne(LOADED_FROM + 10 * REPAIRED_WITHIN),
                    "the set never becomes generation " + generation);
        }
        return fleet.now();
    }

    @Test
    void aReplacementIsNotDelayedByOrders() {
        double longest = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            begin(5, 3, seed);
            double began = fleet.now();
            fleet.replace(
                    process(1),
                    0,
                    List.of(
                            process(3).acceptor(),
                            process(1).acceptor(),
                            process(2).acceptor()),
                    REPAIR_PATIENCE,
                    outcome -> {});
            longest = Math.max(longest, settledAt(1, 2) - began);
        }
        System.out.println("replacement under eight operators: " + Math.round(longest) + " ms at most");
        Assertions.assertTrue(longest < REPAIRED_WITHIN, "took " + longest);
    }

    @Test
    void aReplacementItsProposerLeftIsFinishedUnderLoad() {
        double longest = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            begin(5, 3, seed);
            fleet.replace(
                    process(0),
                    0,
                    List.of(
                            process(3).acceptor(),
                            process(1).acceptor(),
                            process(2).acceptor()),
                    REPAIR_PATIENCE,
                    outcome -> {});
            while (!process(1).register().acceptors().isJoint()) {
                Assertions.assertTrue(fleet.events().playOne(LOADED_FROM + REPAIRED_WITHIN));
            }
            process(0).kill();
            double began = fleet.now();
            longest = Math.max(longest, settledAt(1, 2) - began);
        }
        System.out.println("finished for another under eight operators: " + Math.round(longest) + " ms at most");
        Assertions.assertTrue(longest < REPAIRED_WITHIN, "took " + longest);
    }

    @Test
    void repairsGoBeforeOrdersThatWait() {
        RecordedOutput out = new RecordedOutput();
        AcceptorId self = new AcceptorId("a", "1");
        AcceptorId other = new AcceptorId("b", "2");
        Register register = new Register(
                new Register.Settings("a", AcceptorSet.of(List.of(self, other)), 300, 20, 400, 500),
                DurableState.fresh("1"),
                new SplittableRandom(1));
        for (int request = 0; request < Register.MAX_PENDING_REQUESTS; request++) {
            register.change(0, request, payload -> new Decision(null, "read"), 100_000, out);
        }
        register.reconfigure(0, 1000, 0, List.of(self), 100_000, out);
        Assertions.assertTrue(out.completed.isEmpty(), "refused for the orders' sake");
        double now = 0;
        while (out.messages(Accept.class).isEmpty() && now < 1000) {
            now += 25;
            register.tick(now, out);
            List<Prepare> asked = out.messages(Prepare.class);
            Ballot newest = asked.get(asked.size() - 1).ballot();
            if (newest.round() > 1) {
                register.handleMessage(now, new Promise("a", "1", "1", newest, Ballot.NONE, null), out);
                register.handleMessage(now, new Promise("b", "2", "1", newest, Ballot.NONE, null), out);
            }
        }
        Assertions.assertTrue(
                out.messages(Accept.class).get(0).value().acceptors().isJoint());
    }

    @Test
    void whatFindsNoMajorityEndsUnknownAtItsDeadline() {
        fleet = new SimulatedFleet(3, 3, new SimulationRules(false, false, false), new SplittableRandom(2));
        fleet.events().playUntil(500);
        process(1).kill();
        process(2).kill();
        List<Double> ends = new ArrayList<>();
        double began = fleet.now();
        for (int request = 0; request < Register.MAX_PENDING_REQUESTS; request++) {
            double patience = 600 + 10 * request;
            if (request % 2 == 0) {
                fleet.read(process(0), patience, outcome -> ends.add(late(outcome, began + patience)));
            } else {
                fleet.change(process(0), request, 0, patience, outcome -> ends.add(late(outcome, began + patience)));
            }
        }
        fleet.events().playUntil(5000);
        Assertions.assertEquals(Register.MAX_PENDING_REQUESTS, ends.size());
        for (double late : ends) {
            Assertions.assertTrue(late >= 0 && late <= TICK, "ended " + late + " ms after its deadline");
        }
    }

    private double late(Outcome outcome, double deadline) {
        Assertions.assertInstanceOf(Outcome.Unknown.class, outcome);
        return fleet.now() - deadline;
    }
}
