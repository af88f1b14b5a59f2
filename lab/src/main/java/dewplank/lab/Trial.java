package dewplank.lab;

import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.virtualtime.VirtualRun;
import dewplank.emulator.virtualtime.VirtualRun.Cost;
import dewplank.lab.audit.Auditor;
import dewplank.lab.policies.Policies;
import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * One run, judged: scenario, policy, seed in; service, cost and the auditor's findings out. {@code losses} is null
 * unless they were asked for.
 */
public record Trial(Service service, Auditor auditor, Cost cost, boolean unsound, LossSplit losses) {
    /** Messages take a few milliseconds at the most in virtual time, a handshake included. */
    private static final double SLACK_MS = 50;

    /** {@code decideInParallel}: whether the sidecars of one tick decide on all cores. */
    public static Trial play(Scenario scenario, String policy, long seed, boolean decideInParallel) {
        Auditor auditor = new Auditor(scenario, SLACK_MS);
        Service service = new Service(scenario, 0);
        VirtualRun.Execution execution =
                decideInParallel ? VirtualRun.Execution.PARALLEL : VirtualRun.Execution.SEQUENTIAL;
        VirtualRun run = new VirtualRun(scenario, seed, Policies.named(policy), auditor, service, execution);
        Cost cost = run.run();
        auditor.end(run.world().now());
        return new Trial(service, auditor, cost, false, null);
    }

    /**
     * The same, with the losses split by cause; slower, since each refusal is held against every server's true state.
     */
    public static Trial playSplittingLosses(Scenario scenario, String policy, long seed) {
        Auditor auditor = new Auditor(scenario, SLACK_MS);
        Service service = new Service(scenario, 0);
        LossSplit losses = new LossSplit(scenario, auditor, service);
        VirtualRun run =
                new VirtualRun(scenario, seed, Policies.named(policy), losses, losses, VirtualRun.Execution.SEQUENTIAL);
        losses.attach(run.world());
        Cost cost = run.run();
        auditor.end(run.world().now());
        return new Trial(service, auditor, cost, false, losses);
    }

    public Result result(String scenario, String parameters, String policy, long seed) {
        return new Result(scenario, parameters, policy, seed, figures());
    }

    private Map<String, Double> figures() {
        Histogram latency = service.latency();
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("service", service.valueRatio());
        figures.put("worst_class", service.worstClass());
        figures.put("worst_spell", service.worstWindow());
        figures.put("refused", service.refusedRatio());
        figures.put("failed", service.failedRatio());
        figures.put("tries_each", service.attemptsPerRequest());
        figures.put("sends_each", auditor.requestsSent() == 0 ? 0 : (double) cost.sends() / auditor.requestsSent());
        figures.put("p50_ms", latency.getValueAtPercentile(50) / 1000.0);
        figures.put("p90_ms", latency.getValueAtPercentile(90) / 1000.0);
        figures.put("p99_ms", latency.getValueAtPercentile(99) / 1000.0);
        figures.put("requests", (double) service.requests());
        figures.put("violations", (double) auditor.violations());
        figures.put("probes", (double) cost.healthChecks());
        figures.put("handshakes", (double) cost.handshakes());
        figures.put("directory_calls", (double) cost.directoryCalls());
        figures.put("directory_lines", (double) cost.directoryLines());
        figures.put("events", (double) cost.events());
        figures.put("unsound", unsound ? 1.0 : 0.0);
        figures.put("worst_tenant", service.worstTenant());
        return figures;
    }
}
