package dewplank.lab;

import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.virtualtime.VirtualRun;
import dewplank.emulator.virtualtime.VirtualRun.Cost;
import dewplank.lab.audit.Auditor;
import dewplank.lab.policies.Policies;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The evaluation of one simulation run.
 *
 * @param service metrics of the service that the clients received
 * @param auditor the auditor with the violations that it found
 * @param isInvalid whether the run is invalid, because the emulator itself ran too late for the figures to describe the
 *     sidecars; only on sockets
 */
public record Trial(ServiceMetrics service, Auditor auditor, Cost cost, boolean isInvalid) {
    /** The slack for message transfer. In virtual time a message and its handshake take a few milliseconds at most. */
    private static final double MESSAGE_SLACK_MS = 50;

    /** A trial and the breakdown of the value that it lost. */
    public record WithLosses(Trial trial, LossBreakdown losses) {}

    /**
     * Executes a run in virtual time. The same arguments give the same result.
     *
     * @param policy a policy name from {@link Policies}
     * @param decideInParallel whether the sidecars decide in parallel on all cores within a tick; this does not change
     *     the result
     * @throws dewplank.settings.InvalidInputException if there is no such policy
     */
    public static Trial run(Scenario scenario, String policy, long seed, boolean decideInParallel) {
        Auditor auditor = new Auditor(scenario, MESSAGE_SLACK_MS);
        ServiceMetrics service = new ServiceMetrics(scenario, 0);
        VirtualRun.Execution execution =
                decideInParallel ? VirtualRun.Execution.PARALLEL : VirtualRun.Execution.SEQUENTIAL;
        VirtualRun run = VirtualRun.builder(scenario, seed, Policies.named(policy))
                .recorder(auditor)
                .outcomeListener(service)
                .execution(execution)
                .build();
        return run(run, service, auditor);
    }

    /**
     * Executes a run and splits its losses by cause. This is slower, because each rejection is compared with the true
     * state of every server.
     */
    public static WithLosses runWithLossBreakdown(Scenario scenario, String policy, long seed) {
        Auditor auditor = new Auditor(scenario, MESSAGE_SLACK_MS);
        ServiceMetrics service = new ServiceMetrics(scenario, 0);
        LossBreakdown losses = new LossBreakdown(scenario, auditor, service);
        VirtualRun run = VirtualRun.builder(scenario, seed, Policies.named(policy))
                .recorder(losses)
                .outcomeListener(losses)
                .build();
        losses.attach(run.environment());
        return new WithLosses(run(run, service, auditor), losses);
    }

    private static Trial run(VirtualRun run, ServiceMetrics service, Auditor auditor) {
        Cost cost = run.run();
        auditor.end(run.environment().now());
        return new Trial(service, auditor, cost, false);
    }

    /** The trial as a result of an experiment with the given keys. */
    public Result result(String scenario, String parameters, String policy, long seed) {
        return new Result(scenario, parameters, policy, seed, figures());
    }

    private Map<Figure, Double> figures() {
        Histogram latencyUs = service.latencyUs();
        long sentByClients = auditor.requestsSent();
        Map<Figure, Double> figures = new EnumMap<>(Figure.class);
        figures.put(Figure.SERVICE, service.valueRatio());
        figures.put(Figure.WORST_CLASS, service.worstClass());
        figures.put(Figure.WORST_WINDOW, service.worstWindow());
        figures.put(Figure.REFUSED, service.refusedRatio());
        figures.put(Figure.FAILED, service.failedRatio());
        figures.put(Figure.ATTEMPTS_PER_REQUEST, service.attemptsPerRequest());
        figures.put(Figure.SENDS_PER_ATTEMPT, sentByClients == 0 ? 0 : (double) cost.sends() / sentByClients);
        figures.put(Figure.P50_MS, latencyUs.getValueAtPercentile(50) / 1000.0);
        figures.put(Figure.P90_MS, latencyUs.getValueAtPercentile(90) / 1000.0);
        figures.put(Figure.P99_MS, latencyUs.getValueAtPercentile(99) / 1000.0);
        figures.put(Figure.REQUESTS, (double) service.requests());
        figures.put(Figure.VIOLATIONS, (double) auditor.violations());
        figures.put(Figure.HEALTH_CHECKS, (double) cost.healthChecks());
        figures.put(Figure.HANDSHAKES, (double) cost.handshakes());
        figures.put(Figure.DIRECTORY_CALLS, (double) cost.directoryCalls());
        figures.put(Figure.DIRECTORY_LINES, (double) cost.directoryLines());
        figures.put(Figure.EVENTS, (double) cost.events());
        figures.put(Figure.UNSOUND, isInvalid ? 1.0 : 0.0);
        figures.put(Figure.WORST_TENANT, service.worstTenant());
        return figures;
    }
}
