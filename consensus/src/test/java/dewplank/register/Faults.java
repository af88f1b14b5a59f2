package dewplank.register;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Injects random faults: kills, wipes, pauses, full or stalled disks, partitions. Also changes acceptor sets. */
final class Faults {
    private static final double MEAN_INTERVAL_MS = 260;
    private static final double MAX_FAULT_MS = 1500;
    private static final double MAX_RESTART_ALL_MS = 200;
    private static final double TIMEOUT_MS = 3000;

    private final SimulatedFleet fleet;
    private final SplittableRandom random;
    private SimulatedProcess wiped;
    private AcceptorId lost;
    private boolean isStopped;

    Faults(SimulatedFleet fleet, SplittableRandom random) {
        this.fleet = fleet;
        this.random = random;
    }

    void start() {
        fleet.network().drawFaultRates();
        injectNext();
    }

    /** Ends all faults, except that the replacement of a wiped acceptor continues. */
    void stop() {
        isStopped = true;
        fleet.network().heal();
        for (SimulatedProcess process : fleet.processes()) {
            process.setDiskFull(false);
            process.stallDisk(0);
            process.resume();
            if (!process.isUp()) {
                process.start();
            }
        }
    }

    boolean isWipedDiskReplaced() {
        return wiped == null;
    }

    private void injectNext() {
        if (isStopped) {
            return;
        }
        inject(fleet.any(random), random.nextDouble() * MAX_FAULT_MS);
        fleet.events().after(random.nextDouble() * 2 * MEAN_INTERVAL_MS, this::injectNext);
    }

    private void inject(SimulatedProcess process, double durationMs) {
        switch (random.nextInt(8)) {
            case 0 -> kill(process, durationMs / 4);
            case 1 -> killAll();
            case 2 -> pause(process, durationMs);
            case 3 -> fillDisk(process, durationMs);
            case 4 -> process.stallDisk(fleet.nowMs() + durationMs);
            case 5 -> partition(process, durationMs, random.nextInt(3));
            case 6 -> wipe(process, durationMs / 4);
            default -> resize(process);
        }
    }

    private void kill(SimulatedProcess process, double durationMs) {
        process.kill();
        fleet.events().after(durationMs, () -> restart(process));
    }

    private void killAll() {
        if (random.nextInt(4) != 0) {
            return;
        }
        for (SimulatedProcess process : fleet.processes()) {
            kill(process, random.nextDouble() * MAX_RESTART_ALL_MS);
        }
    }

    private void restart(SimulatedProcess process) {
        if (!process.isUp()) {
            process.start();
        }
    }

    private void pause(SimulatedProcess process, double durationMs) {
        process.pause();
        fleet.events().after(durationMs, process::resume);
    }

    private void fillDisk(SimulatedProcess process, double durationMs) {
        process.setDiskFull(true);
        fleet.events().after(durationMs, () -> process.setDiskFull(false));
    }

    /** Partitions a process from all others, in both directions or for sent or received messages only. */
    private void partition(SimulatedProcess process, double durationMs, int kind) {
        for (SimulatedProcess other : fleet.processes()) {
            if (kind != 0) {
                fleet.network().block(process.address(), other.address());
            }
            if (kind != 1) {
                fleet.network().block(other.address(), process.address());
            }
            fleet.events().after(durationMs, () -> {
                fleet.network().unblock(process.address(), other.address());
                fleet.network().unblock(other.address(), process.address());
            });
        }
    }

    private void wipe(SimulatedProcess process, double durationMs) {
        if (!fleet.rules().wipes() || wiped != null) {
            return;
        }
        wiped = process;
        lost = process.acceptor();
        process.wipe();
        fleet.events().after(durationMs, () -> {
            restart(process);
            if (fleet.rules().wipedDiskKeepsIdentity()) {
                wiped = null;
            } else {
                replaceLost();
            }
        });
    }

    private void replaceLost() {
        SimulatedProcess proposing = fleet.any(random);
        AcceptorSet set = newestSet(proposing);
        fleet.reconfigure(proposing, set.generation(), withoutLost(set), TIMEOUT_MS, outcome -> {
            boolean isReplaced = outcome instanceof Outcome.Confirmed<String> confirmed
                    && !confirmed.value().acceptors().all().contains(lost);
            if (isReplaced) {
                wiped = null;
            } else {
                replaceLost();
            }
        });
    }

    private AcceptorSet newestSet(SimulatedProcess proposing) {
        RegisterValue newest = fleet.newestChosen();
        AcceptorSet current = proposing.isUp() ? proposing.register().acceptors() : AcceptorSet.of(List.of());
        return newest == null ? current : newest.acceptors();
    }

    private List<AcceptorId> withoutLost(AcceptorSet set) {
        List<AcceptorId> target = new ArrayList<>();
        for (AcceptorId acceptor : set.isJoint() ? set.joining() : set.members()) {
            target.add(acceptor.equals(lost) ? wiped.acceptor() : acceptor);
        }
        return target;
    }

    private void resize(SimulatedProcess proposing) {
        if (!fleet.rules().resizes()) {
            return;
        }
        List<AcceptorId> target = new ArrayList<>();
        for (SimulatedProcess process : fleet.processes()) {
            if (random.nextInt(3) != 0) {
                target.add(process.acceptor());
            }
        }
        fleet.reconfigure(proposing, target, TIMEOUT_MS, outcome -> {});
    }
}
