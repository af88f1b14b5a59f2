package dewplank.lab.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.scenario.ScenarioFile;
import dewplank.emulator.virtualtime.EmulatedSidecar;
import dewplank.emulator.virtualtime.VirtualRun;
import dewplank.lab.Service;
import dewplank.lab.Trial;
import dewplank.lab.audit.BrokenBalancer.Way;
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

/** The auditor finds each of eight ways to break a rule, and nothing where the decision module plays the same day. */
class AuditorTest {
    private static final double MESSAGE_SLACK_MS = 50;
    private static final long SEED = 11;
    private static final String KEPT = "kept all rules";

    private static Stream<Arguments> brokenBalancers() {
        return Stream.of(
                Arguments.of(Way.NEVER_ANSWERS, Set.of(Rule.NOT_ANSWERED)),
                Arguments.of(Way.RESENDS_ORDERS, Set.of(Rule.SENT_TWICE, Rule.EFFECT_TWICE)),
                Arguments.of(Way.REFUSES_AFTER_RUN, Set.of(Rule.REFUSED_AFTER_RUN)),
                Arguments.of(Way.KEYED_PAST_WINDOW, Set.of(Rule.KEYED_AFTER_WINDOW, Rule.EFFECT_TWICE)),
                Arguments.of(Way.SENDS_TO_DRAINED, Set.of(Rule.SENT_TO_DRAINED)),
                Arguments.of(Way.FLOODS_COLD, Set.of(Rule.COLD_SERVER_OVERLOADED)));
    }

    /** Every scenario that comes with the laboratory, on two seeds. */
    private static Stream<Arguments> scenariosAndSeeds() {
        return ScenarioFile.names().stream().flatMap(name -> Stream.of(Arguments.of(name, 1L), Arguments.of(name, 2L)));
    }

    /** A scenario with faults that give each way of breaking a rule its occasion. */
    private static Scenario scenarioWithFaults() {
        try {
            Path file = Files.createTempFile("day", ".toml");
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

    private static Auditor play(VirtualRun.Policy policy, VirtualRun.SidecarFactory sidecars) {
        Scenario scenario = scenarioWithFaults();
        Auditor auditor = new Auditor(scenario, MESSAGE_SLACK_MS);
        VirtualRun run = VirtualRun.builder(scenario, SEED, policy)
                .recorder(auditor)
                .outcomeListener(new Service(scenario, 0))
                .sidecars(sidecars)
                .build();
        run.run();
        auditor.end(run.world().now());
        return auditor;
    }

    private static VirtualRun.SidecarFactory plainSidecars() {
        return (run, number) -> new EmulatedSidecar(run, number) {};
    }

    private static VirtualRun.Policy brokenBalancer(Way way) {
        return (settings, seed, world, sidecar) -> new BrokenBalancer(settings, seed, way);
    }

    private static Auditor play(Way way) {
        return play(brokenBalancer(way), plainSidecars());
    }

    @Nested
    class BrokenRules {
        @ParameterizedTest
        @MethodSource("dewplank.lab.audit.AuditorTest#brokenBalancers")
        void ofABalancerAreFoundAndNoOthers(Way way, Set<Rule> rules) {
            Auditor auditor = play(way);
            assertEquals(rules, auditor.counts().keySet(), way + ": " + auditor.verdict());
        }

        @Test
        void ofASidecarThatAnswersTwiceAreFoundAndNoOthers() {
            Auditor auditor = play(brokenBalancer(Way.NONE), BrokenSidecars.AnswersTwice::new);
            assertEquals(Set.of(Rule.ANSWERED_TWICE), auditor.counts().keySet());
        }

        @Test
        void ofASidecarThatMixesUpAnswersAreFoundAndNoOthers() {
            Auditor auditor = play(brokenBalancer(Way.NONE), BrokenSidecars.MixesUp::new);
            assertEquals(Set.of(Rule.WRONG_ANSWER), auditor.counts().keySet());
        }

        @Test
        void areReportedWithTheRequestsTimeline() {
            Violation violation = play(Way.RESENDS_ORDERS).retainedViolations().stream()
                    .filter(found -> found.rule() == Rule.SENT_TWICE)
                    .findFirst()
                    .orElseThrow();
            String timeline = violation.timelineText();
            assertTrue(timeline.matches("(?s).*sent.*received.*started.*received.*"), timeline);
        }
    }

    @Nested
    class NoRuleIsBroken {
        @Test
        void byTheDecisionModuleUnderTheSameFaults() {
            assertEquals(
                    KEPT,
                    play(Policies.named("choice"), plainSidecars()).verdict().substring(0, KEPT.length()));
        }

        @Test
        void byAPlainBalancerUnderTheSameFaults() {
            assertEquals(KEPT, play(Way.NONE).verdict().substring(0, KEPT.length()));
        }

        @ParameterizedTest
        @MethodSource("dewplank.lab.audit.AuditorTest#scenariosAndSeeds")
        void byTheDecisionModuleUnderEachFaultOfTheLaboratory(String name, long seed) {
            Auditor auditor = Trial.play(ScenarioFile.named(name).with("length_s", 25), "choice", seed, true)
                    .auditor();
            assertEquals(0, auditor.violations(), auditor.verdict() + auditor.retainedViolations());
        }

        @Test
        void byTheLossOfAKilledSidecarsRequestsInFlight() {
            Scenario scenario = ScenarioFile.named("sidecar-kill").with("length_s", 20);
            Trial trial = Trial.play(scenario, "choice", 4, false);
            assertEquals(0, trial.auditor().violations());
            assertTrue(trial.service().failedRatio() + trial.service().refusedRatio() > 0);
        }
    }
}
