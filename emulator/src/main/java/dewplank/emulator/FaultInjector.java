package dewplank.emulator;

import dewplank.balancer.Endpoint.Availability;
import dewplank.emulator.Server.State;
import dewplank.emulator.scenario.Fault;
import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.scenario.TenantLoad;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Injects a scenario's faults. The servers that a fault affects depend only on the seed and on the fault's index in the
 * scenario. Runs on the scheduler thread.
 */
public final class FaultInjector {
    /** Kills sidecar processes; implemented by the drivers. */
    public interface SidecarKiller {
        /** Kills the sidecar's process and restarts it after the given time. */
        void kill(int sidecar, double restartAfterMs);
    }

    /** Restart time of a server in a deploy; short, because its new process starts up while the old one drains. */
    private static final double DEPLOY_RESTART_DELAY_MS = 200;
    /** Minimum interval between two batches of a deploy. */
    private static final double MIN_BATCH_INTERVAL_MS = 100;
    /** Delay between the end of a server's drain time and its crash, so that draining ends first. */
    private static final double STOP_DELAY_AFTER_DRAIN_MS = 1;
    /** Largest fraction of a machine that a neighbour can use; the server keeps running at reduced speed. */
    private static final double MAX_NEIGHBOUR_FRACTION = 0.95;
    /** Tolerance for floating-point error when a fraction of a list is rounded up. */
    private static final double ROUNDING = 1e-9;

    private final EmulatedEnvironment environment;
    private final Scenario scenario;
    private final SidecarKiller sidecarKiller;

    private FaultInjector(EmulatedEnvironment environment, SidecarKiller sidecarKiller) {
        this.environment = environment;
        this.scenario = environment.scenario();
        this.sidecarKiller = sidecarKiller;
    }

    /** Schedules all faults of the scenario, with times relative to now. */
    public static void schedule(EmulatedEnvironment environment, SidecarKiller sidecarKiller) {
        FaultInjector injector = new FaultInjector(environment, sidecarKiller);
        List<Fault> faults = environment.scenario().faults();
        for (int i = 0; i < faults.size(); i++) {
            Fault fault = faults.get(i);
            UniformRandomProvider random = environment.randomStreams().stream("fault", i);
            environment.schedule(fault.atMs(), () -> injector.inject(fault, random));
        }
    }

    private void inject(Fault fault, UniformRandomProvider random) {
        switch (fault.kind()) {
            case CRASH,
                    VANISH,
                    SLOW,
                    PAUSE,
                    NEIGHBOUR,
                    DEPLOY,
                    CLASS_ERRORS,
                    LOST_ANSWERS,
                    RESETS,
                    ERRORS -> injectIntoServers(fault, random);
            case CUT -> partition(fault, random);
            case LOSS -> applyTemporarily(fault, environment.network()::setLossRate, 0);
            case POISON -> injectPoison(fault);
            case LOAD -> applyTemporarily(fault, environment::setLoadFactor, 1);
            case TENANT_LOAD -> changeTenantLoad(fault);
            case ZONE_LOSS -> failZone(fault, random);
            case DIRECTORY_DOWN -> {
                environment.directory().setDown(true);
                environment.schedule(
                        fault.durationMs(), () -> environment.directory().setDown(false));
            }
            case DIRECTORY_SILENT -> {
                environment.directory().setStalled(true);
                environment.schedule(
                        fault.durationMs(), () -> environment.directory().setStalled(false));
            }
            case SIDECAR_KILL -> drawNumbers(scenario.sidecars(), fault.affectedFraction(), random)
                    .forEach(sidecar -> sidecarKiller.kill(sidecar, fault.durationMs()));
        }
    }

    private void injectIntoServers(Fault fault, UniformRandomProvider random) {
        List<Server> affected = drawServers(fault.affectedFraction(), random);
        double magnitude = fault.magnitude();
        double endMs = environment.now() + fault.durationMs();
        switch (fault.kind()) {
            case CRASH -> affected.forEach(server -> crash(server, fault.durationMs()));
            case VANISH -> affected.forEach(server -> vanish(server, fault.durationMs()));
            case SLOW -> applyTemporarily(
                    fault,
                    affected,
                    server -> server.setSlowdown(Math.max(1, magnitude)),
                    server -> server.setSlowdown(1));
            case PAUSE -> pause(fault, affected, endMs);
            case NEIGHBOUR -> toggleNeighbour(fault, affected, endMs, true);
            case DEPLOY -> deploy(fault, affected, 0);
            case CLASS_ERRORS -> injectClassErrors(fault, affected);
            case LOST_ANSWERS -> applyTemporarily(
                    fault,
                    affected,
                    server -> server.faultRates().setLostResponseRate(magnitude),
                    server -> server.faultRates().setLostResponseRate(0));
            case RESETS -> applyTemporarily(
                    fault,
                    affected,
                    server -> server.faultRates().setResetRate(magnitude),
                    server -> server.faultRates().setResetRate(0));
            case ERRORS -> applyTemporarily(
                    fault,
                    affected,
                    server -> server.faultRates().setImmediateErrorRate(magnitude),
                    server -> server.faultRates().setImmediateErrorRate(0));
            default -> throw new IllegalArgumentException(fault.kind() + " is not a server fault");
        }
    }

    // ---- selection of targets -------------------------------------------------------------------------

    private List<Server> drawServers(double fraction, UniformRandomProvider random) {
        return drawNumbers(environment.servers().size(), fraction, random).stream()
                .map(environment.servers()::get)
                .toList();
    }

    /** Draws a fraction of the numbers below {@code count}, rounded up, in random order. */
    private static List<Integer> drawNumbers(int count, double fraction, UniformRandomProvider random) {
        List<Integer> numbers =
                new ArrayList<>(IntStream.range(0, count).boxed().toList());
        Collections.shuffle(numbers, new Random(random.nextLong()));
        return leadingFraction(numbers, fraction);
    }

    /** The leading elements of a list that make up the given fraction of it, rounded up. */
    private static List<Integer> leadingFraction(List<Integer> numbers, double fraction) {
        int count = (int) Math.ceil(fraction * numbers.size() - ROUNDING);
        return IntStream.range(0, Math.min(count, numbers.size()))
                .mapToObj(numbers::get)
                .toList();
    }

    // ---- faults with a duration -----------------------------------------------------------------------

    private interface Setting {
        void set(double value);
    }

    /** Sets a value to the fault's magnitude, and resets it to its base value when the fault ends. */
    private void applyTemporarily(Fault fault, Setting setting, double baseValue) {
        setting.set(fault.magnitude());
        environment.schedule(fault.durationMs(), () -> setting.set(baseValue));
    }

    private void applyTemporarily(Fault fault, List<Server> affected, Consumer<Server> begin, Consumer<Server> end) {
        affected.forEach(begin);
        environment.schedule(fault.durationMs(), () -> affected.forEach(end));
    }

    private void pause(Fault fault, List<Server> affected, double endMs) {
        if (environment.now() < endMs) {
            affected.forEach(server -> server.pause(fault.magnitude()));
            environment.schedule(fault.intervalMs(), () -> pause(fault, affected, endMs));
        }
    }

    private void toggleNeighbour(Fault fault, List<Server> affected, double endMs, boolean isBusy) {
        boolean hasEnded = environment.now() >= endMs;
        double fraction = isBusy && !hasEnded ? Math.min(MAX_NEIGHBOUR_FRACTION, fault.magnitude()) : 0;
        affected.forEach(server -> server.setNeighbourFraction(fraction));
        if (!hasEnded) {
            environment.schedule(fault.intervalMs(), () -> toggleNeighbour(fault, affected, endMs, !isBusy));
        }
    }

    private void injectClassErrors(Fault fault, List<Server> affected) {
        int requestClass = classIndex(fault);
        applyTemporarily(
                fault,
                affected,
                server -> server.faultRates().setErrorRate(requestClass, fault.magnitude()),
                server -> server.faultRates().resetErrorRate(requestClass));
    }

    private void injectPoison(Fault fault) {
        environment.setPoison(classIndex(fault), fault.magnitude());
        environment.schedule(fault.durationMs(), () -> environment.setPoison(RecordedEvent.NONE, 0));
    }

    private int classIndex(Fault fault) {
        return fault.target().map(scenario.classNames()::indexOf).orElse(RecordedEvent.NONE);
    }

    private void changeTenantLoad(Fault fault) {
        List<String> names = scenario.tenantsAndKeys().tenants().stream()
                .map(TenantLoad::name)
                .toList();
        int tenant = names.indexOf(fault.target().orElseThrow());
        applyTemporarily(fault, factor -> environment.tenantTraffic().setFactor(tenant, factor), 1);
    }

    private void partition(Fault fault, UniformRandomProvider random) {
        List<Server> affected = drawServers(fault.affectedFraction(), random);
        List<Integer> sidecars = drawNumbers(scenario.sidecars(), Math.min(1, fault.magnitude()), random);
        setPartitioned(affected, sidecars, true);
        environment.schedule(fault.durationMs(), () -> setPartitioned(affected, sidecars, false));
    }

    private void setPartitioned(List<Server> servers, List<Integer> sidecars, boolean isPartitioned) {
        for (Server server : servers) {
            for (int sidecar : sidecars) {
                environment.network().setPartitioned(sidecar, server.number(), isPartitioned);
            }
        }
    }

    // ---- loss of servers ------------------------------------------------------------------------------

    private void crash(Server server, double restartAfterMs) {
        if (server.state() == State.UP) {
            server.crash();
            environment.scheduleCrashDetection(server);
            environment.restart(server, restartAfterMs);
        }
    }

    private void vanish(Server server, double restartAfterMs) {
        if (server.state() == State.UP) {
            server.vanish();
            environment.scheduleVanishDetection(server);
            environment.restart(server, restartAfterMs);
        }
    }

    /** Removes the machines of a random zone and kills a fraction of its sidecars; the servers restart cold. */
    private void failZone(Fault fault, UniformRandomProvider random) {
        List<String> zones = scenario.zones();
        String zone = zones.get(random.nextInt(zones.size()));
        environment.servers().stream()
                .filter(server -> server.zone().equals(zone))
                .forEach(server -> vanish(server, fault.durationMs()));
        List<Integer> sidecars = IntStream.range(0, scenario.sidecars())
                .filter(sidecar -> scenario.zoneOfSidecar(sidecar).equals(zone))
                .boxed()
                .toList();
        leadingFraction(sidecars, Math.min(1, fault.magnitude()))
                .forEach(sidecar -> sidecarKiller.kill(sidecar, fault.durationMs()));
    }

    // ---- deploy ---------------------------------------------------------------------------------------

    /** Replaces the servers in batches: each server is drained, stopped and restarted cold. */
    private void deploy(Fault fault, List<Server> order, int from) {
        int batchSize = Math.max(
                1, (int) Math.round(fault.magnitude() * environment.servers().size()));
        List<Server> batch = order.subList(Math.min(from, order.size()), Math.min(from + batchSize, order.size()));
        if (batch.isEmpty()) {
            return;
        }
        batch.forEach(server -> replaceServer(server, fault.intervalMs()));
        int batches = (order.size() + batchSize - 1) / batchSize;
        double batchIntervalMs = Math.max(MIN_BATCH_INTERVAL_MS, fault.durationMs() / batches);
        environment.schedule(batchIntervalMs, () -> deploy(fault, order, from + batchSize));
    }

    /** Lists the server as draining first; its process starts to drain once the sidecars have been notified. */
    private void replaceServer(Server server, double drainMs) {
        if (server.state() != State.UP) {
            return;
        }
        int incarnation = server.incarnation();
        environment.directory().set(server, Availability.DRAINING);
        double notificationMs =
                scenario.directory().updateIntervalMs() * 2 + scenario.rules().drainMs();
        environment.schedule(Math.min(notificationMs, drainMs), () -> {
            if (server.incarnation() == incarnation) {
                server.drain();
            }
        });
        environment.schedule(drainMs + STOP_DELAY_AFTER_DRAIN_MS, () -> {
            if (server.incarnation() == incarnation && server.state() == State.DRAINING) {
                server.crash();
                environment.directory().set(server, Availability.REMOVED);
                environment.restart(server, DEPLOY_RESTART_DELAY_MS);
            }
        });
    }
}
