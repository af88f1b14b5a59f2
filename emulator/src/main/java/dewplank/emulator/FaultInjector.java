package dewplank.emulator;

import dewplank.balancer.Endpoint.Availability;
import dewplank.emulator.Server.State;
import dewplank.emulator.scenario.DirectoryModel;
import dewplank.emulator.scenario.Fault;
import dewplank.emulator.scenario.TenantLoad;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;

/** Plays a scenario's faults on a world. Which servers are hit is settled by the seed and the fault's place alone. */
public final class FaultInjector {
    /** Kills a sidecar and starts it again after a while. */
    public interface SidecarKiller {
        void kill(int sidecar, double backAfterMs);
    }

    /** How long a server's successor takes to come up: it is begun while the server drains. */
    private static final double BOOT_MS = 200;

    private final World world;
    private final SidecarKiller killSidecar;

    private FaultInjector(World world, SidecarKiller killSidecar) {
        this.world = world;
        this.killSidecar = killSidecar;
    }

    public static void schedule(World world, SidecarKiller killSidecar) {
        FaultInjector faults = new FaultInjector(world, killSidecar);
        List<Fault> all = world.scenario().faults();
        for (int i = 0; i < all.size(); i++) {
            Fault fault = all.get(i);
            UniformRandomProvider random = world.randomStreams().stream("fault", i);
            world.schedule(fault.atMs(), () -> faults.begin(fault, random));
        }
    }

    private List<Server> some(double part, UniformRandomProvider random) {
        return shuffled(world.servers().size(), part, random).stream()
                .map(world.servers()::get)
                .toList();
    }

    /** The part, rounded up, of that many numbers, in a drawn order. */
    private static List<Integer> shuffled(int count, double part, UniformRandomProvider random) {
        List<Integer> numbers =
                new ArrayList<>(IntStream.range(0, count).boxed().toList());
        Collections.shuffle(numbers, new Random(random.nextLong()));
        return firstOf(numbers, part);
    }

    private void begin(Fault f, UniformRandomProvider random) {
        switch (f.kind()) {
            case CRASH -> some(f.affectedFraction(), random).forEach(s -> lose(s, false, f.durationMs()));
            case VANISH -> some(f.affectedFraction(), random).forEach(s -> lose(s, true, f.durationMs()));
            case SLOW -> during(f, random, s -> s.setSlowdown(Math.max(1, f.magnitude())), s -> s.setSlowdown(1));
            case PAUSE -> beat(
                    f, some(f.affectedFraction(), random), world.now() + f.durationMs(), s -> s.pause(f.magnitude()));
            case NEIGHBOUR -> neighbour(f, some(f.affectedFraction(), random), world.now() + f.durationMs(), true);
            case DEPLOY -> deploy(f, shuffled(world.servers().size(), f.affectedFraction(), random), 0);
            case CLASS_ERRORS -> classErrors(f, some(f.affectedFraction(), random));
            case LOST_ANSWERS -> during(
                    f, random, s -> s.faultRates().setLostResponseRate(f.magnitude()), s -> s.faultRates()
                            .setLostResponseRate(0));
            case RESETS -> during(f, random, s -> s.faultRates().setResetRate(f.magnitude()), s -> s.faultRates()
                    .setResetRate(0));
            case POISON -> {
                world.setPoison(
                        f.target() == null ? -1 : world.scenario().classNames().indexOf(f.target()), f.magnitude());
                world.schedule(f.durationMs(), () -> world.setPoison(-1, 0));
            }
            case LOSS -> {
                world.setLoss(f.magnitude());
                world.schedule(f.durationMs(), () -> world.setLoss(0));
            }
            case CUT -> cut(f, random);
            case LOAD -> {
                world.setLoadFactor(f.magnitude());
                world.schedule(f.durationMs(), () -> world.setLoadFactor(1));
            }
            case ERRORS -> during(
                    f, random, s -> s.faultRates().setImmediateErrorRate(f.magnitude()), s -> s.faultRates()
                            .setImmediateErrorRate(0));
            case TENANT_LOAD -> {
                int tenant = world.scenario().tenantsAndKeys().tenants().stream()
                        .map(TenantLoad::name)
                        .toList()
                        .indexOf(f.target());
                world.setTenantLoad(tenant, f.magnitude());
                world.schedule(f.durationMs(), () -> world.setTenantLoad(tenant, 1));
            }
            case ZONE_LOSS -> zoneLoss(f, random);
            case DIRECTORY_DOWN -> {
                world.directory().setDown(true);
                world.schedule(f.durationMs(), () -> world.directory().setDown(false));
            }
            case DIRECTORY_SILENT -> {
                world.directory().setStalled(true);
                world.schedule(f.durationMs(), () -> world.directory().setStalled(false));
            }
            case SIDECAR_KILL -> shuffled(world.scenario().sidecars(), f.affectedFraction(), random)
                    .forEach(n -> killSidecar.kill(n, f.durationMs()));
        }
    }

    private interface Act {
        void on(Server s);
    }

    private void during(Fault f, UniformRandomProvider random, Act begin, Act end) {
        List<Server> hit = some(f.affectedFraction(), random);
        hit.forEach(begin::on);
        world.schedule(f.durationMs(), () -> hit.forEach(end::on));
    }

    private void beat(Fault f, List<Server> hit, double until, Act act) {
        if (world.now() < until) {
            hit.forEach(act::on);
            world.schedule(f.intervalMs(), () -> beat(f, hit, until, act));
        }
    }

    private void neighbour(Fault f, List<Server> hit, double until, boolean on) {
        boolean over = world.now() >= until;
        hit.forEach(s -> s.setNeighbourFraction(on && !over ? Math.min(0.95, f.magnitude()) : 0));
        if (!over) {
            world.schedule(f.intervalMs(), () -> neighbour(f, hit, until, !on));
        }
    }

    private void lose(Server s, boolean silently, double backAfterMs) {
        if (s.state() != State.UP) {
            return;
        }
        DirectoryModel d = world.scenario().directory();
        if (silently) {
            s.vanish();
            world.directory().noticeLoss(s, d.vanishNoticeMs() * (0.5 + world.directoryRandom.nextDouble()));
        } else {
            s.crash();
            world.serverDied(s);
        }
        world.restart(s, backAfterMs);
    }

    /** A drawn zone goes without a word, with the stated part of its sidecars, and comes back cold. */
    private void zoneLoss(Fault f, UniformRandomProvider random) {
        List<String> zones = world.scenario().zones();
        String zone = zones.get(random.nextInt(zones.size()));
        world.servers().stream().filter(s -> s.zone().equals(zone)).forEach(s -> lose(s, true, f.durationMs()));
        List<Integer> there =
                new ArrayList<>(IntStream.range(0, world.scenario().sidecars())
                        .filter(n -> world.scenario().zoneOfSidecar(n).equals(zone))
                        .boxed()
                        .toList());
        firstOf(there, Math.min(1, f.magnitude())).forEach(n -> killSidecar.kill(n, f.durationMs()));
    }

    private void classErrors(Fault f, List<Server> hit) {
        int kind = world.scenario().classNames().indexOf(f.target());
        hit.forEach(s -> s.faultRates().setErrorRate(kind, f.magnitude()));
        world.schedule(f.durationMs(), () -> hit.forEach(s -> s.faultRates().resetErrorRate(kind)));
    }

    /** Batch after batch: listed as draining, given time, ended, started anew and cold. */
    private void deploy(Fault f, List<Integer> order, int from) {
        int batch = Math.max(1, (int) Math.round(f.magnitude() * world.servers().size()));
        List<Integer> now = order.subList(Math.min(from, order.size()), Math.min(from + batch, order.size()));
        if (now.isEmpty()) {
            return;
        }
        int batches = (order.size() + batch - 1) / batch;
        double each = Math.max(100, f.durationMs() / batches);
        for (int n : now) {
            Server s = world.servers().get(n);
            if (s.state() != State.UP) {
                continue;
            }
            int life = s.incarnation();
            world.directory().set(s, Availability.DRAINING); // the deploy says so first; the process follows
            double heard = world.scenario().directory().updateIntervalMs() * 2
                    + world.scenario().rules().drainMs();
            world.schedule(Math.min(heard, f.intervalMs()), () -> {
                if (s.incarnation() == life) {
                    s.drain();
                }
            });
            world.schedule(f.intervalMs() + 1, () -> {
                if (s.incarnation() == life && s.state() == State.DRAINING) {
                    s.crash();
                    world.directory().set(s, Availability.REMOVED);
                    world.restart(s, BOOT_MS);
                }
            });
        }
        world.schedule(each, () -> deploy(f, order, from + batch));
    }

    private void cut(Fault f, UniformRandomProvider random) {
        List<Server> hit = some(f.affectedFraction(), random);
        List<Integer> from = shuffled(world.scenario().sidecars(), Math.min(1, f.magnitude()), random);
        setCuts(hit, from, true);
        world.schedule(f.durationMs(), () -> setCuts(hit, from, false));
    }

    private void setCuts(List<Server> servers, List<Integer> sidecars, boolean cut) {
        for (Server s : servers) {
            for (int n : sidecars) {
                world.setPartitioned(n, s.number(), cut);
            }
        }
    }

    /** The first of a list, as many as make up that fraction of it, rounded up. */
    private static List<Integer> firstOf(List<Integer> shuffled, double fraction) {
        int n = (int) Math.ceil(fraction * shuffled.size() - 1e-9);
        return IntStream.range(0, Math.min(n, shuffled.size()))
                .mapToObj(shuffled::get)
                .toList();
    }
}
