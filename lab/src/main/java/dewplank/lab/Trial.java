package dewplank.lab;

import dewplank.emulator.Scenario;
import dewplank.emulator.virtualtime.VirtualRun;
import dewplank.emulator.virtualtime.VirtualRun.Cost;
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

    /** {@code sideBySide}: whether the sidecars of one tick decide on all cores. */
    public static Trial play(Scenario scenario, String policy, long seed, boolean sideBySide) {
        Auditor auditor = new Auditor(scenario, SLACK_MS);
        Service service = new Service(scenario, 0);
        VirtualRun run = new VirtualRun(scenario, seed, Policies.named(policy), auditor, service, sideBySide);
        Cost cost = run.run();
        auditor.end(run.world().now());
        return new Trial(service, auditor, cost, false, null);
    }

    /**
     * The same, with the losses split by cause; slower, since each refusal is held against every server's true state.
     */
    public static Trial split(Scenario scenario, String policy, long seed) {
        Auditor auditor = new Auditor(scenario, SLACK_MS);
        Service service = new Service(scenario, 0);
        LossSplit losses = new LossSplit(scenario, auditor, service);
        VirtualRun run = new VirtualRun(scenario, seed, Policies.named(policy), losses, losses, false);
        losses.watch(run.world());
        Cost cost = run.run();
        auditor.end(run.world().now());
        return new Trial(service, auditor, cost, false, losses);
    }

    public Result result(String scenario, String parameters, String policy, long seed) {
        return new Result(scenario, parameters, policy, seed, figures());
    }

    private Map<String, Double> figures() {
        Histogram latency = service.latency();
        Map<String, Double> f = new LinkedHashMap<>();
        f.put("service", service.share());
        f.put("worst_class", service.worstClass());
        f.put("worst_spell", service.worstSpell());
        f.put("refused", service.refusedShare());
        f.put("failed", service.failedShare());
        f.put("tries_each", service.attemptsPerRequest());
        f.put("sends_each", auditor.requestsSent() == 0 ? 0 : (double) cost.sends() / auditor.requestsSent());
        f.put("p50_ms", latency.getValueAtPercentile(50) / 1000.0);
        f.put("p90_ms", latency.getValueAtPercentile(90) / 1000.0);
        f.put("p99_ms", latency.getValueAtPercentile(99) / 1000.0);
        f.put("requests", (double) service.asked());
        f.put("violations", (double) auditor.violations());
        f.put("probes", (double) cost.healthChecks());
        f.put("handshakes", (double) cost.handshakes());
        f.put("directory_calls", (double) cost.directoryCalls());
        f.put("directory_lines", (double) cost.directoryLines());
        f.put("events", (double) cost.events());
        f.put("unsound", unsound ? 1.0 : 0.0);
        f.put("worst_tenant", service.worstTenant());
        return f;
    }
}
