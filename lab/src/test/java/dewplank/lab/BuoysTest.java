package dewplank.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.health.PeerSummary;
import dewplank.emulator.World;
import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.scenario.ScenarioFile;
import dewplank.emulator.virtualtime.EmulatedSidecar;
import dewplank.emulator.virtualtime.VirtualRun;
import dewplank.lab.audit.Auditor;
import dewplank.lab.policies.Policies;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The hard cases of a fleet as the buoys' operators have it: each on several seeds, with the auditor on all. */
class BuoysTest {
    private static final int SEEDS = 6;
    private static final double MESSAGE_SLACK_MS = 50;

    private static Scenario scenario(String name) {
        return ScenarioFile.named(name).with("length_s", 30);
    }

    /** The mean of a figure over the seeds; a broken rule on any fails. */
    private static double mean(Scenario scenario, String policy, ToDoubleFunction<Trial> figure) {
        return IntStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToDouble(seed -> {
                    Trial trial = Trial.play(scenario, policy, seed, false);
                    if (policy.equals("choice")) {
                        assertEquals(
                                0,
                                trial.auditor().violations(),
                                () -> "seed " + seed + ": " + trial.auditor().retainedViolations());
                    }
                    return figure.applyAsDouble(trial);
                })
                .average()
                .orElseThrow();
    }

    private static double service(String name) {
        return mean(scenario(name), "choice", trial -> trial.service().valueRatio());
    }

    @Test
    void aCalmFleetServesNearlyAllAndRefusesHardlyAny() {
        assertTrue(service("buoys") > 0.97);
        assertTrue(mean(scenario("buoys"), "choice", trial -> trial.service().refusedRatio()) < 0.005);
    }

    /** Three of twelve servers and a quarter of the sidecars are gone for 12 s: what was in flight there is lost. */
    @Test
    void aBuildingLostWithItsSidecarsAndBackColdCostsLittleMoreThanTheOracle() {
        double oracle = mean(
                scenario("buoys-building"), "oracle", trial -> trial.service().valueRatio());
        double service = service("buoys-building");
        assertTrue(service > oracle - 0.04, service + " of the oracle's " + oracle);
    }

    @Test
    void aSixthOfTheServersSilentWithoutAResetCostsLittle() {
        double service = service("buoys-silent");
        assertTrue(service > 0.92, "service " + service);
    }

    /** A fast failure must not look like a fast server: a policy that sees latencies and loads alone sends them all. */
    @Test
    void serversThatFailQuicklyDrawLessThanHalfTheFailuresOfABlindPolicy() {
        double blind = mean(scenario("buoys-errors"), "two-choices", trial -> trial.service()
                .failedRatio());
        double failed = mean(
                scenario("buoys-errors"), "choice", trial -> trial.service().failedRatio());
        assertTrue(failed < 0.5 * blind, failed + " failed, blind " + blind);
    }

    @Test
    void aNoisyNeighbourOnHalfOfTheMachinesCostsLittle() {
        double service = service("buoys-neighbour");
        assertTrue(service > 0.85, "service " + service);
    }

    @Test
    void aDeployOfNineInTenWithinTwentyTwoSecondsOverloadsNoColdServer() {
        double service = service("buoys-deploy");
        assertTrue(service > 0.82, "service " + service);
    }

    /** Little spare capacity, so that some tenant has to lose by the flood: it is the one that causes it. */
    @Test
    void aTenantAtTenTimesItsQuotaLeavesTheOthersTheirs() {
        Scenario flood = scenario("buoys-flood").with("load.share", 0.8);
        double worst = mean(flood, "choice", trial -> trial.service().worstTenant());
        double blind = mean(flood, "two-choices", trial -> trial.service().worstTenant());
        assertTrue(worst > 0.83 && worst > blind + 0.05, "worst tenant " + worst + ", blind " + blind);
    }

    /** The service with one sidecar of five that sends the others false summaries, or none. */
    private static double withLiar(Scenario scenario, boolean lies) {
        return IntStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToDouble(seed -> {
                    Auditor auditor = new Auditor(scenario, MESSAGE_SLACK_MS);
                    Service service = new Service(scenario, 0);
                    VirtualRun.builder(scenario, seed, Policies.named("choice"))
                            .recorder(auditor)
                            .outcomeListener(service)
                            .sidecars((run, number) ->
                                    number == 0 && lies ? new Liar(run, number) : new Plain(run, number))
                            .build()
                            .run();
                    assertEquals(0, auditor.violations(), () -> auditor.retainedViolations()
                            .toString());
                    return service.valueRatio();
                })
                .average()
                .orElseThrow();
    }

    private static class Plain extends EmulatedSidecar {
        Plain(VirtualRun run, int number) {
            super(run, number);
        }
    }

    private static final class Liar extends Plain {
        private final World world;

        Liar(VirtualRun run, int number) {
            super(run, number);
            this.world = run.world();
        }

        @Override
        protected byte[] peerSummary(byte[] summary) {
            List<Integer> some = world.servers().stream()
                    .limit(world.servers().size() / 3)
                    .map(server -> server.id().hashCode())
                    .toList();
            return new PeerSummary(PeerSummary.decode(summary).createdAtMs(), some).encode();
        }
    }

    @Test
    void aPeerThatReportsAThirdOfTheServersUnhealthyIsOutvoted() {
        Scenario busy = scenario("buoys").with("load.share", 0.75);
        double honest = withLiar(busy, false);
        double lied = withLiar(busy, true);
        assertTrue(lied > honest - 0.03, lied + " with a liar, " + honest + " without");
    }

    @Test
    void aSidecarWithoutPeerSummariesGoesByItsOwnAttempts() {
        Scenario errors = scenario("buoys-errors");
        double withPeers = mean(errors, "choice", trial -> trial.service().valueRatio());
        double alone = mean(errors.with("messages.lost", 1), "choice", trial -> trial.service()
                .valueRatio());
        assertTrue(alone > withPeers - 0.04, alone + " alone, " + withPeers + " with peers");
    }
}
