package dewplank.register;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests repairs and deadlines while eight operators send a new request as soon as the previous one is completed. */
class LoadedFleetTest {
    private static final int OPERATORS = 8;
    private static final double TIMEOUT_MS = 900;
    private static final double REPAIR_TIMEOUT_MS = 1500;
    private static final double WARM_UP_MS = 1000;
    private static final double TICK_MS = 50;
    private static final int SEEDS = 40;

    /** Half of the time that a deployment allows for catching up after a loss. */
    private static final double MAX_REPAIR_MS = 2000;

    private SimulatedFleet fleet;
    private SplittableRandom random;
    private int confirmed;
    private int version;

    private void startFleet(int size, int members, long seed) {
        random = new SplittableRandom(seed);
        fleet = new SimulatedFleet(size, members, new SimulationRules(false, false, false), random.split());
        for (int operator = 0; operator < OPERATORS; operator++) {
            sendNext();
        }
        fleet.events().runUntil(WARM_UP_MS);
        confirmed = 0;
    }

    /** Sends a change that is rejected, so that the payload stays small; a rejection takes the same rounds. */
    private void sendNext() {
        version++;
        SimulatedProcess process = fleet.any(random);
        if (!process.isUp()) {
            fleet.events().after(1, this::sendNext);
            return;
        }
        fleet.change(process, version, -1, TIMEOUT_MS, outcome -> {
            confirmed += outcome instanceof Outcome.Confirmed ? 1 : 0;
            fleet.events().after(1, this::sendNext);
        });
    }

    private double awaitGeneration(int observer, long generation) {
        while (fleet.process(observer).register().acceptors().generation() < generation) {
            Assertions.assertTrue(
                    fleet.events().runNext(WARM_UP_MS + 10 * MAX_REPAIR_MS),
                    "the acceptor set does not reach generation " + generation);
        }
        return fleet.nowMs();
    }

    @Test
    void requestsDoNotDelayAReconfiguration() {
        double maxMs = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            startFleet(5, 3, seed);
            double startedAtMs = fleet.nowMs();
            fleet.reconfigure(fleet.process(1), 0, fleet.acceptors(3, 1, 2), REPAIR_TIMEOUT_MS, outcome -> {});
            maxMs = Math.max(maxMs, awaitGeneration(1, 2) - startedAtMs);
        }
        System.out.println("longest reconfiguration under eight operators: " + Math.round(maxMs) + " ms");
        Assertions.assertTrue(maxMs < MAX_REPAIR_MS, "longest time in ms: " + maxMs);
    }

    @Test
    void abandonedReconfigurationIsCompletedUnderLoad() {
        double maxMs = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            startFleet(5, 3, seed);
            fleet.reconfigure(fleet.process(0), 0, fleet.acceptors(3, 1, 2), REPAIR_TIMEOUT_MS, outcome -> {});
            while (!fleet.process(1).register().acceptors().isJoint()) {
                Assertions.assertTrue(fleet.events().runNext(WARM_UP_MS + MAX_REPAIR_MS));
            }
            fleet.process(0).kill();
            double startedAtMs = fleet.nowMs();
            maxMs = Math.max(maxMs, awaitGeneration(1, 2) - startedAtMs);
        }
        System.out.println(
                "longest completion for another process under eight operators: " + Math.round(maxMs) + " ms");
        Assertions.assertTrue(maxMs < MAX_REPAIR_MS, "longest time in ms: " + maxMs);
    }

    @Test
    void repairsRunBeforeQueuedRequests() {
        RecordedEffects effects = new RecordedEffects();
        AcceptorId self = RegisterBuilder.A;
        AcceptorId other = RegisterBuilder.B;
        Register<String> register = new RegisterBuilder()
                .initialAcceptors(AcceptorSet.of(List.of(self, other)))
                .build();
        for (int request = 0; request < Register.MAX_PENDING_REQUESTS; request++) {
            register.change(0, request, payload -> new Decision<>(null, "read"), 100_000, effects);
        }
        register.reconfigure(0, 1000, 0, List.of(self), 100_000, effects);
        Assertions.assertTrue(effects.completed.isEmpty(), "rejected because of the pending requests");
        double nowMs = 0;
        while (effects.messages(Accept.class).isEmpty() && nowMs < 1000) {
            nowMs += 25;
            register.tick(nowMs, effects);
            Ballot newest = effects.lastMessage(Prepare.class).ballot();
            if (newest.round() > 1) {
                register.handleMessage(nowMs, RegisterBuilder.promise(self, newest), effects);
                register.handleMessage(nowMs, RegisterBuilder.promise(other, newest), effects);
            }
        }
        Assertions.assertTrue(
                effects.messages(Accept.class).get(0).value().acceptors().isJoint());
    }

    @Test
    void requestsWithoutAQuorumAreUnknownAtTheirDeadline() {
        fleet = new SimulatedFleet(3, 3, new SimulationRules(false, false, false), new SplittableRandom(2));
        fleet.events().runUntil(500);
        fleet.process(1).kill();
        fleet.process(2).kill();
        List<Double> latenessMs = new ArrayList<>();
        double startedAtMs = fleet.nowMs();
        for (int request = 0; request < Register.MAX_PENDING_REQUESTS; request++) {
            double timeoutMs = 600 + 10 * request;
            if (request % 2 == 0) {
                fleet.read(
                        fleet.process(0),
                        timeoutMs,
                        outcome -> latenessMs.add(lateMs(outcome, startedAtMs + timeoutMs)));
            } else {
                fleet.change(
                        fleet.process(0),
                        request,
                        0,
                        timeoutMs,
                        outcome -> latenessMs.add(lateMs(outcome, startedAtMs + timeoutMs)));
            }
        }
        fleet.events().runUntil(5000);
        Assertions.assertEquals(Register.MAX_PENDING_REQUESTS, latenessMs.size());
        for (double lateMs : latenessMs) {
            Assertions.assertTrue(lateMs >= 0 && lateMs <= TICK_MS, "ended " + lateMs + " ms after its deadline");
        }
    }

    private double lateMs(Outcome<String> outcome, double deadlineMs) {
        Assertions.assertInstanceOf(Outcome.Unknown.class, outcome);
        return fleet.nowMs() - deadlineMs;
    }
}
