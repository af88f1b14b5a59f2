package dewplank.lab;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

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
import org.junit.Test;

/** The hard cases of a fleet as the buoys' operators have: each by name, several seeds, the auditor on all of them. */
public class BuoysTest {
    private static final int SEEDS = 6;

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
                                "seed " + seed + ": " + trial.auditor().retainedViolations(),
                                0,
                                trial.auditor().violations());
                    }
                    return figure.applyAsDouble(trial);
                })
                .average()
                .orElseThrow();
    }

    private static double service(String name) {
        return mean(scenario(name), "choice", t -> t.service().valueRatio());
    }

    @Test
    public void aCalmFleetServesNearlyAllAndRefusesHardlyAnybody() {
        assertTrue(service("buoys") > 0.97);
        assertTrue(mean(scenario("buoys"), "choice", t -> t.service().refusedRatio()) < 0.005);
    }

    /** Three of twelve servers and a quarter of the sidecars are gone for 12 s: what those held is their own loss. */
    @Test
    public void aBuildingLostWithItsSidecarsAndBackColdBreaksNoRule() {
        double near =
                mean(scenario("buoys-building"), "oracle", t -> t.service().valueRatio());
        double service = service("buoys-building");
        assertTrue(service + " of the oracle's " + near, service > near - 0.04);
    }

    @Test
    public void aSixthOfTheServersSilentWithNoResetCostsLittle() {
        double service = service("buoys-silent");
        assertTrue("service " + service, service > 0.92);
    }

    /** A fast failure must not look like a fast server: a policy that sees times and loads alone sends them all. */
    @Test
    public void serversThatFailQuicklyGetNoMoreThanTheirTrials() {
        double blind =
                mean(scenario("buoys-errors"), "two-choices", t -> t.service().failedRatio());
        double failed =
                mean(scenario("buoys-errors"), "choice", t -> t.service().failedRatio());
        assertTrue(failed + " failed, blind " + blind, failed < 0.5 * blind);
    }

    @Test
    public void aNeighbourOnHalfOfTheMachinesBreaksNoRule() {
        double service = service("buoys-neighbour");
        assertTrue("service " + service, service > 0.85);
    }

    @Test
    public void aDeployOfNineInTenWithinTwentyTwoSecondsPushesNobodyOver() {
        double service = service("buoys-deploy");
        assertTrue("service " + service, service > 0.82);
    }

    /** Little room to spare, so that the flood has to be somebody's loss: it is its own. */
    @Test
    public void aDepartmentAtTenTimesItsShareLeavesTheOthersTheirs() {
        Scenario flood = scenario("buoys-flood").with("load.share", 0.8);
        double worst = mean(flood, "choice", t -> t.service().worstTenant());
        double blind = mean(flood, "two-choices", t -> t.service().worstTenant());
        assertTrue("worst department " + worst + ", blind " + blind, worst > 0.83 && worst > blind + 0.05);
    }

    /** One sidecar of five that tells the others what it likes. */
    private static double withLiar(Scenario scenario, boolean lies) {
        return IntStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToDouble(seed -> {
                    Auditor auditor = new Auditor(scenario, 50);
                    Service service = new Service(scenario, 0);
                    VirtualRun run = new VirtualRun(
                            scenario,
                            seed,
                            Policies.named("choice"),
                            auditor,
                            service,
                            VirtualRun.Execution.SEQUENTIAL,
                            (r, n) -> n == 0 && lies ? new Liar(r, n) : new Plain(r, n));
                    run.run();
                    assertEquals(auditor.retainedViolations().toString(), 0, auditor.violations());
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
                    .map(s -> s.id().hashCode())
                    .toList();
            return new PeerSummary(PeerSummary.decode(summary).createdAtMs(), some).encode();
        }
    }

    @Test
    public void aPeerThatSaysThatAThirdOfTheServersIsIllIsOutvoted() {
        Scenario busy = scenario("buoys").with("load.share", 0.75);
        double honest = withLiar(busy, false);
        double lied = withLiar(busy, true);
        assertTrue(lied + " with a liar, " + honest + " without", lied > honest - 0.03);
    }

    @Test
    public void aSidecarThatHearsNoPeerGoesByItsOwnSight() {
        Scenario errors = scenario("buoys-errors");
        double heard = mean(errors, "choice", t -> t.service().valueRatio());
        double alone =
                mean(errors.with("messages.lost", 1), "choice", t -> t.service().valueRatio());
        assertTrue(alone + " alone, " + heard + " with peers", alone > heard - 0.04);
    }
}
