package dewplank.fleet.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.fleet.FleetEvent.AttemptEnded;
import dewplank.emulator.fleet.FleetEvent.ChangeResponded;
import dewplank.emulator.fleet.FleetEvent.ConnectionReused;
import dewplank.emulator.fleet.FleetProcess;
import dewplank.emulator.fleet.Futures;
import dewplank.emulator.fleet.History;
import dewplank.emulator.fleet.KeepAliveLoad;
import dewplank.emulator.fleet.SteadyLoad;
import dewplank.fleet.FleetHarness;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * A soak of real processes with a plan generated from a seed, and clients with and without keep-alive connections. At
 * the end the history is checked for violations of all rules. The name doesn't match Surefire's patterns because the
 * soak takes too long for each build; run it with:
 *
 * <pre>
 * mvn -o -pl cli -am test -Dtest=SoakRun -Dsoak.seed=1 -Dsoak.seconds=30 -Dsurefire.failIfNoSpecifiedTests=false
 * </pre>
 *
 * {@code -Dsoak.edges=N} sets the number of data planes, {@code -Dsoak.hostile=false} leaves out hostile bytes and
 * starts before the settings file is complete. A failure prints the seed and the processes' logs.
 */
class SoakRun {
    private static final long SEED = Long.getLong("soak.seed", 1);
    private static final int SECONDS = Integer.getInteger("soak.seconds", 30);
    private static final int DATA_PLANES = Integer.getInteger("soak.edges", 3);
    private static final boolean HOSTILE = Boolean.parseBoolean(System.getProperty("soak.hostile", "true"));
    private static final int CONTROL_PLANES = 3;
    private static final int MS_PER_S = 1_000;

    /** A step, which may throw. */
    private interface Step {
        void run() throws Exception;
    }

    private final List<ScheduledExecutorService> threads = new ArrayList<>();
    private final List<Future<?>> steps = new ArrayList<>();

    @Test
    void violatesNoRuleDuringConcurrentFaultsAndPlannedMaintenance() throws Exception {
        SoakPlan plan = SoakPlan.generate(SEED, SECONDS * MS_PER_S, CONTROL_PLANES, DATA_PLANES, HOSTILE);
        System.out.print(plan.text());
        try {
            FleetHarness.run(CONTROL_PLANES, DATA_PLANES, harness -> runPlan(plan, harness));
        } catch (Exception | AssertionError e) {
            System.out.println("soak seed=" + SEED + " failed: " + e.getMessage());
            throw e;
        } finally {
            threads.forEach(ScheduledExecutorService::shutdownNow);
        }
        System.out.println("soak seed=" + SEED + " kept every rule");
    }

    private void runPlan(SoakPlan plan, FleetHarness harness) throws Exception {
        harness.fleet.plainServer("other");
        harness.fleet.plainServer("other");
        SteadyLoad load = harness.startLoad();
        KeepAliveLoad keepAliveLoad = harness.fleet.keepAliveLoad(FleetHarness.ONE_OF_EACH_KIND);
        List<ProcessStepRunner> runners = new ArrayList<>();
        runners.addAll(startProcessSteps(plan.control(), harness, harness.control()));
        runners.addAll(startProcessSteps(plan.data(), harness, harness.fleet.data()));
        startChanges(plan, harness);
        for (Future<?> step : steps) {
            step.get();
        }
        runners.forEach(ProcessStepRunner::assertAlive);
        harness.awaitReady();
        harness.awaitServed("requests served after the last step", load);
        load.stop();
        keepAliveLoad.stop();
        for (int control = 0; control < CONTROL_PLANES; control++) {
            assertTrue(Futures.await(harness.operator().read(control)) > 0, "the configuration was not read back");
        }
        System.out.println(summary(harness.fleet.history()));
    }

    private static String summary(History history) {
        List<AttemptEnded> ended = history.events(AttemptEnded.class);
        long complete = ended.stream().filter(AttemptEnded::complete).count();
        long acknowledged = history.events(ChangeResponded.class).stream()
                .filter(changeResponded -> changeResponded.status() == 200)
                .count();
        return String.format(
                "attempts %d, on reused connections %d, with a complete response %d; acknowledged changes %d",
                ended.size(), history.events(ConnectionReused.class).size(), complete, acknowledged);
    }

    private List<ProcessStepRunner> startProcessSteps(
            List<List<ProcessStep>> stepsByProcess, FleetHarness harness, List<FleetProcess> processes) {
        List<ProcessStepRunner> all = new ArrayList<>();
        for (int i = 0; i < stepsByProcess.size(); i++) {
            ProcessStepRunner runner = new ProcessStepRunner(harness, processes.get(i), SEED + i);
            all.add(runner);
            ScheduledExecutorService thread = newThread();
            for (ProcessStep step : stepsByProcess.get(i)) {
                schedule(thread, step.atMs(), () -> runner.run(step));
            }
        }
        return all;
    }

    private void startChanges(SoakPlan plan, FleetHarness harness) {
        ChangeStepRunner runner = new ChangeStepRunner(harness);
        ScheduledExecutorService thread = newThread();
        for (ChangeStep step : plan.changes()) {
            schedule(thread, step.atMs(), () -> runner.run(step));
        }
    }

    /** Returns a new thread for one sequence of steps, which keeps the steps in order. */
    private ScheduledExecutorService newThread() {
        ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();
        threads.add(thread);
        return thread;
    }

    private void schedule(ScheduledExecutorService thread, double atMs, Step step) {
        steps.add(thread.schedule(
                () -> {
                    step.run();
                    return null;
                },
                (long) atMs,
                TimeUnit.MILLISECONDS));
    }
}
