package dewplank.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.health.PeerSummary;
import dewplank.emulator.EmulatedEnvironment;
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

/** Bounds on the service in the fault scenarios of the buoys fleet, over several seeds. The auditor checks each run. */
class BuoysScenariosTest {
    private static final int SEEDS = 6;
    private static final double MESSAGE_SLACK_MS = 50;

    private static Scenario scenario(String name) {
        return ScenarioFile.named(name).with("length_s", 30);
    }

    /** The mean of a figure over the seeds. Runs of the decision module must have no violations. */
    private static double mean(Scenario scenario, String policy, ToDoubleFunction<Trial> figure) {
        return IntStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToDouble(seed -> {
                    Trial trial = Trial.run(scenario, policy, seed, false);
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
    void aFleetWithoutFaultsServesNearlyAllRequestsAndRejectsFew() {
        assertTrue(service("buoys") > 0.97);
        assertTrue(mean(scenario("buoys"), "choice", trial -> trial.service().refusedRatio()) < 0.005);
    }

    /** Three of twelve servers and a quarter of the sidecars stop for 12 s, and their requests in flight are lost. */
    @Test
    void theLossOfABuildingReducesTheServiceLittleMoreThanWithTheOracle() {
        double oracle = mean(
                scenario("buoys-building"), "oracle", trial -> trial.service().valueRatio());
        double service = service("buoys-building");
        assertTrue(service > oracle - 0.04, service + ", oracle " + oracle);
    }

    @Test
    void theSilentLossOfASixthOfTheServersReducesTheServiceOnlySlightly() {
        double service = service("buoys-silent");
        assertTrue(service > 0.92, "service " + service);
    }

    /** Fast failures must not count as fast responses, as they do for a policy that uses only latencies and loads. */
    @Test
    void fastFailingServersCauseLessThanHalfTheFailuresOfTwoChoices() {
        double withTwoChoices = mean(scenario("buoys-errors"), "two-choices", trial -> trial.service()
                .failedRatio());
        double failed = mean(
                scenario("buoys-errors"), "choice", trial -> trial.service().failedRatio());
        assertTrue(failed < 0.5 * withTwoChoices, failed + " failed, with two choices " + withTwoChoices);
    }

    @Test
    void aNoisyNeighbourOnHalfOfTheMachinesReducesTheServiceOnlySlightly() {
        double service = service("buoys-neighbour");
        assertTrue(service > 0.85, "service " + service);
    }

    @Test
    void aDeploymentToNinetyPercentOfTheServersIn22SecondsOverloadsNoColdServer() {
        double service = service("buoys-deploy");
        assertTrue(service > 0.82, "service " + service);
    }

    /** With little spare capacity some tenant must lose value, and that must be the tenant that exceeds its quota. */
    @Test
    void aTenantAtTenTimesItsQuotaBarelyReducesTheServiceOfOtherTenants() {
        Scenario overQuota = scenario("buoys-flood").with("load.share", 0.8);
        double worst = mean(overQuota, "choice", trial -> trial.service().worstTenant());
        double withTwoChoices =
                mean(overQuota, "two-choices", trial -> trial.service().worstTenant());
        assertTrue(
                worst > 0.83 && worst > withTwoChoices + 0.05,
                "worst tenant " + worst + ", with two choices " + withTwoChoices);
    }

    /** The mean service if {@code first} creates the first of five sidecars and the others are plain. */
    private static double serviceWithFirstSidecar(VirtualRun.SidecarFactory first, Scenario scenario) {
        return IntStream.rangeClosed(1, SEEDS)
                .parallel()
                .mapToDouble(seed -> {
                    Auditor auditor = new Auditor(scenario, MESSAGE_SLACK_MS);
                    ServiceMetrics service = new ServiceMetrics(scenario, 0);
                    VirtualRun.builder(scenario, seed, Policies.named("choice"))
                            .recorder(auditor)
                            .outcomeListener(service)
                            .sidecars((run, number) ->
                                    number == 0 ? first.create(run, number) : new PlainSidecar(run, number))
                            .build()
                            .run();
                    assertEquals(0, auditor.violations(), () -> auditor.retainedViolations()
                            .toString());
                    return service.valueRatio();
                })
                .average()
                .orElseThrow();
    }

    private static class PlainSidecar extends EmulatedSidecar {
        PlainSidecar(VirtualRun run, int number) {
            super(run, number);
        }
    }

    /** Always reports a third of the servers as unhealthy to its peers. */
    private static final class FalselyReportingSidecar extends PlainSidecar {
        private final EmulatedEnvironment environment;

        FalselyReportingSidecar(VirtualRun run, int number) {
            super(run, number);
            this.environment = run.environment();
        }

        @Override
        protected byte[] peerSummary(byte[] summary) {
            List<Integer> reported = environment.servers().stream()
                    .limit(environment.servers().size() / 3)
                    .map(server -> server.id().hashCode())
                    .toList();
            return new PeerSummary(PeerSummary.decode(summary).createdAtMs(), reported).encode();
        }
    }

    @Test
    void falseReportsOfOnePeerAboutAThirdOfTheServersAreOutvoted() {
        Scenario highLoad = scenario("buoys").with("load.share", 0.75);
        double withTrueReports = serviceWithFirstSidecar(PlainSidecar::new, highLoad);
        double withFalseReports = serviceWithFirstSidecar(FalselyReportingSidecar::new, highLoad);
        assertTrue(
                withFalseReports > withTrueReports - 0.03,
                withFalseReports + " with false reports, " + withTrueReports + " without");
    }

    @Test
    void sidecarsWithoutPeerSummariesProvideNearlyTheSameService() {
        Scenario errors = scenario("buoys-errors");
        double withPeers = mean(errors, "choice", trial -> trial.service().valueRatio());
        double withoutPeers = mean(errors.with("messages.lost", 1), "choice", trial -> trial.service()
                .valueRatio());
        assertTrue(withoutPeers > withPeers - 0.04, withoutPeers + " without peers, " + withPeers + " with peers");
    }
}
