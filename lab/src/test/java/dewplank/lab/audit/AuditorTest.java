package dewplank.lab.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.scenario.ScenarioFile;
import dewplank.emulator.virtualtime.EmulatedSidecar;
import dewplank.emulator.virtualtime.VirtualRun;
import dewplank.lab.ServiceMetrics;
import dewplank.lab.Trial;
import dewplank.lab.audit.BrokenBalancer.Defect;
import dewplank.lab.policies.Policies;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** The auditor finds each of eight defects, and no violation of the decision module under the same faults. */
class AuditorTest {
    private static final double MESSAGE_SLACK_MS = 50;
    private static final long SEED = 11;
    private static final String NO_VIOLATIONS = "kept all rules";

    private static Stream<Arguments> brokenBalancers() {
        return Stream.of(
                Arguments.of(Defect.NEVER_RESPONDS, Set.of(Rule.NOT_ANSWERED)),
                Arguments.of(Defect.RESENDS_UNSAFE, Set.of(Rule.SENT_TWICE, Rule.EFFECT_TWICE)),
                Arguments.of(Defect.REJECTS_AFTER_RUN, Set.of(Rule.REFUSED_AFTER_RUN)),
                Arguments.of(Defect.RETRIES_KEYED_AFTER_WINDOW, Set.of(Rule.KEYED_AFTER_WINDOW, Rule.EFFECT_TWICE)),
                Arguments.of(Defect.SENDS_TO_DRAINING, Set.of(Rule.SENT_TO_DRAINED)),
                Arguments.of(Defect.OVERLOADS_COLD, Set.of(Rule.COLD_SERVER_OVERLOADED)));
    }

    /** Every scenario of the laboratory with two seeds. */
    private static Stream<Arguments> scenariosAndSeeds() {
        return ScenarioFile.names().stream().flatMap(name -> Stream.of(Arguments.of(name, 1L), Arguments.of(name, 2L)));
    }

    /** A scenario with the faults that trigger each defect. */
    private static Scenario scenarioWithFaults() {
        try {
            Path file = Files.createTempFile("scenario", ".toml");
            Files.writeString(
                    file,
                    """
                name = "busy"
                like = "fleet"
                length_s = 25
                [clients]
                try_share = 1
                [load]
                share = 0.4
                [[fault]]
                what = "resets"
                at_s = 0
                part = 1
                size = 0.03
                [[fault]]
                what = "class_errors"
                at_s = 0
                part = 1
                size = 0.2
                class = "book"
                [[fault]]
                what = "slow"
                at_s = 0
                for_s = 20
                part = 0.3
                size = 6
                [[fault]]
                what = "deploy"
                at_s = 2
                for_s = 20
                part = 0.5
                size = 0.12
                """);
            Scenario scenario = ScenarioFile.named(file.toString());
            Files.delete(file);
            return scenario;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static Auditor runAndAudit(VirtualRun.Policy policy, VirtualRun.SidecarFactory sidecars) {
        Scenario scenario = scenarioWithFaults();
        Auditor auditor = new Auditor(scenario, MESSAGE_SLACK_MS);
        VirtualRun run = VirtualRun.builder(scenario, SEED, policy)
                .recorder(auditor)
                .outcomeListener(new ServiceMetrics(scenario, 0))
                .sidecars(sidecars)
                .build();
        run.run();
        auditor.end(run.environment().now());
        return auditor;
    }

    private static VirtualRun.SidecarFactory plainSidecars() {
        return (run, number) -> new EmulatedSidecar(run, number) {};
    }

    private static VirtualRun.Policy brokenBalancer(Defect defect) {
        return (settings, seed, environment, sidecar) -> new BrokenBalancer(settings, seed, defect);
    }

    private static Auditor runAndAudit(Defect defect) {
        return runAndAudit(brokenBalancer(defect), plainSidecars());
    }

    @Nested
    class DetectedViolations {
        @ParameterizedTest
        @MethodSource("dewplank.lab.audit.AuditorTest#brokenBalancers")
        void areExactlyThoseOfTheBalancersDefect(Defect defect, Set<Rule> rules) {
            Auditor auditor = runAndAudit(defect);
            assertEquals(rules, auditor.counts().keySet(), defect + ": " + auditor.verdict());
        }

        @Test
        void areExactlyThoseOfASidecarThatRespondsTwice() {
            Auditor auditor = runAndAudit(brokenBalancer(Defect.NONE), BrokenSidecars.RespondsTwice::new);
            assertEquals(Set.of(Rule.ANSWERED_TWICE), auditor.counts().keySet());
        }

        @Test
        void areExactlyThoseOfASidecarThatMixesUpResponses() {
            Auditor auditor = runAndAudit(brokenBalancer(Defect.NONE), BrokenSidecars.MixesUpResponses::new);
            assertEquals(Set.of(Rule.WRONG_ANSWER), auditor.counts().keySet());
        }

        @Test
        void includeTheTimelineOfTheRequest() {
            Violation violation = runAndAudit(Defect.RESENDS_UNSAFE).retainedViolations().stream()
                    .filter(found -> found.rule() == Rule.SENT_TWICE)
                    .findFirst()
                    .orElseThrow();
            String timeline = violation.timelineText();
            assertTrue(timeline.matches("(?s).*sent.*received.*started.*received.*"), timeline);
        }
    }

    @Nested
    class NoViolations {
        @Test
        void areFoundForTheDecisionModuleUnderTheSameFaults() {
            assertEquals(
                    NO_VIOLATIONS,
                    runAndAudit(Policies.named("choice"), plainSidecars())
                            .verdict()
                            .substring(0, NO_VIOLATIONS.length()));
        }

        @Test
        void areFoundForABalancerWithoutDefectUnderTheSameFaults() {
            assertEquals(NO_VIOLATIONS, runAndAudit(Defect.NONE).verdict().substring(0, NO_VIOLATIONS.length()));
        }

        @ParameterizedTest
        @MethodSource("dewplank.lab.audit.AuditorTest#scenariosAndSeeds")
        void areFoundForTheDecisionModuleInAnyScenarioOfTheLaboratory(String name, long seed) {
            Auditor auditor = Trial.run(ScenarioFile.named(name).with("length_s", 25), "choice", seed, true)
                    .auditor();
            assertEquals(0, auditor.violations(), auditor.verdict() + auditor.retainedViolations());
        }

        @Test
        void areFoundForRequestsLostWithAKilledSidecar() {
            Scenario scenario = ScenarioFile.named("sidecar-kill").with("length_s", 20);
            Trial trial = Trial.run(scenario, "choice", 4, false);
            assertEquals(0, trial.auditor().violations());
            assertTrue(trial.service().failedRatio() + trial.service().refusedRatio() > 0);
        }
    }
}
