package dewplank.lab;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.scenario.ScenarioFile;
import dewplank.emulator.virtualtime.EmulatedSidecar;
import dewplank.emulator.virtualtime.VirtualRun;
import dewplank.lab.Broken.Way;
import dewplank.lab.policies.Policies;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import org.junit.Test;

/** Eight ways to break a rule, each found; and the real module, with nothing to find on the same days. */
public class AuditorTest {
    private static final Map<Way, Set<Rule>> FOUND_AS = Map.of(
            Way.NEVER_ANSWERS, EnumSet.of(Rule.NOT_ANSWERED),
            Way.RESENDS_ORDERS, EnumSet.of(Rule.SENT_TWICE, Rule.EFFECT_TWICE),
            Way.REFUSES_AFTER_RUN, EnumSet.of(Rule.REFUSED_AFTER_RUN),
            Way.KEYED_PAST_WINDOW, EnumSet.of(Rule.KEYED_AFTER_WINDOW, Rule.EFFECT_TWICE),
            Way.SENDS_TO_DRAINED, EnumSet.of(Rule.SENT_TO_DRAINED),
            Way.FLOODS_COLD, EnumSet.of(Rule.COLD_SERVER_OVERLOADED));

    /** A day on which every way of breaking a rule has its occasion. */
    private static Scenario busyDay() {
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
        Scenario day = busyDay();
        Auditor auditor = new Auditor(day, 50);
        VirtualRun run = new VirtualRun(
                day, 11, policy, auditor, new Service(day, 0), VirtualRun.Execution.SEQUENTIAL, sidecars);
        run.run();
        auditor.end(run.world().now());
        return auditor;
    }

    private static VirtualRun.SidecarFactory whole() {
        return (run, n) -> new EmulatedSidecar(run, n) {};
    }

    private static Auditor play(Way way) {
        return play((settings, seed, world, me) -> new Broken.Plain(settings, seed, way), whole());
    }

    @Test
    public void eachBrokenBalancerIsFoundAndNothingElseIsSaidOfIt() {
        FOUND_AS.forEach((way, rules) -> {
            Auditor auditor = play(way);
            assertEquals(way + ": " + auditor.verdict(), rules, auditor.counts().keySet());
        });
    }

    @Test
    public void anAnswerGivenTwiceOrToTheWrongClientIsFound() {
        VirtualRun.Policy plain = (settings, seed, world, me) -> new Broken.Plain(settings, seed, Way.NONE);
        assertEquals(
                Set.of(Rule.ANSWERED_TWICE),
                play(plain, Broken.AnswersTwice::new).counts().keySet());
        assertEquals(
                Set.of(Rule.WRONG_ANSWER),
                play(plain, Broken.MixesUp::new).counts().keySet());
    }

    @Test
    public void theRealModuleAndAPlainBalancerKeepTheRulesOnThatDay() {
        assertEquals(
                "kept all rules",
                play(Policies.named("choice"), whole()).verdict().substring(0, 14));
        assertEquals("kept all rules", play(Way.NONE).verdict().substring(0, 14));
    }

    @Test
    public void aFindingTellsTheRequestsWholeTimeLine() {
        Auditor.Violation v = play(Way.RESENDS_ORDERS).retainedViolations().stream()
                .filter(x -> x.rule() == Rule.SENT_TWICE)
                .findFirst()
                .orElseThrow();
        assertTrue(v.timeline(), v.timeline().matches("(?s).*sent.*received.*started.*received.*"));
    }

    /** Every fault that comes with the laboratory, on two seeds: no rule broken by the module. */
    @Test
    public void theModuleKeepsTheRulesUnderEveryFaultOfTheLaboratory() {
        for (String name : ScenarioFile.names()) {
            for (long seed = 1; seed <= 2; seed++) {
                Trial trial = Trial.play(ScenarioFile.named(name).with("length_s", 25), "choice", seed, true);
                assertTrue(
                        name + " seed " + seed + ": " + trial.auditor().verdict()
                                + trial.auditor().retainedViolations(),
                        trial.auditor().violations() == 0);
            }
        }
    }

    @Test
    public void whatAKilledSidecarHeldIsNoBreach() {
        Scenario kill = ScenarioFile.named("sidecar-kill").with("length_s", 20);
        Trial trial = Trial.play(kill, "choice", 4, false);
        assertEquals(0, trial.auditor().violations());
        assertTrue(trial.service().failedRatio() + trial.service().refusedRatio() > 0);
    }
}
