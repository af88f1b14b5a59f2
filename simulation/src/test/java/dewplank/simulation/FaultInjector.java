package dewplank.simulation;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Injects faults. Within the fault tolerance, only one machine that counts towards the tolerance has a fault at a time,
 * and the next fault begins catch_up_s or more after that machine recovered or its successor started. Beyond the
 * tolerance, any number of machines have faults at the same time, and at most one disk is lost.
 */
final class FaultInjector {
    private static final double MEAN_INTERVAL_MS = 900;
    private static final double MAX_FAULT_MS = 3_500;
    private static final double SHORT_FAULT_MS = 700;
    private static final double MAX_CLOCK_STEP_MS = 8_000;

    private final SimulatedFleet fleet;
    private final SplittableRandom random;
    private double endMs;
    private boolean wiped;
    private int activeFaults;

    FaultInjector(SimulatedFleet fleet, SplittableRandom random) {
        this.fleet = fleet;
        this.random = random;
    }

    /** Whether no machine that counts towards the fault tolerance has a fault. */
    boolean hasNoActiveFaults() {
        return activeFaults == 0;
    }

    // ---- within the tolerance --------------------------------------------------------------------------------

    /** Injects faults into one machine at a time, as the tolerance allows; no fault begins after {@code end}. */
    void injectWithinTolerance(double from, double end) {
        endMs = end;
        fleet.time().at(from, this::injectNextFault);
        fleet.time().at(from + random.nextDouble() * MEAN_INTERVAL_MS, this::injectUncounted);
    }

    private void injectNextFault() {
        if (fleet.time().now() >= endMs) {
            return;
        }
        List<ControlMachine> core = fleet.core();
        injectFault(core.get(random.nextInt(core.size())), random.nextInt(9), this::scheduleNextFault);
    }

    private void scheduleNextFault() {
        double extraMs = random.nextBoolean() ? 0 : random.nextDouble() * 2_000;
        fleet.time().after(SimulatedFleet.CATCH_UP_MS + extraMs, this::injectNextFault);
    }

    /** Injects a fault of the given kind; {@code recovered} runs when the machine recovers or its successor starts. */
    void injectFault(ControlMachine machine, int kind, Runnable recovered) {
        double durationMs = random.nextInt(3) == 0 ? SHORT_FAULT_MS : random.nextDouble() * MAX_FAULT_MS;
        activeFaults++;
        Runnable onRecovered = () -> {
            activeFaults--;
            recovered.run();
        };
        switch (kind) {
            case 0 -> kill(machine, durationMs, onRecovered);
            case 1 -> pause(machine, durationMs, onRecovered);
            case 2 -> isolate(machine, durationMs, true, true, onRecovered);
            case 3 -> isolate(machine, durationMs, random.nextBoolean(), false, onRecovered);
            case 4 -> powerLoss(machine, durationMs, onRecovered);
            case 5 -> wipe(machine, durationMs, onRecovered);
            case 6 -> replace(machine, random.nextDouble() * 2_000, onRecovered);
            case 7 -> degradeDisk(machine, durationMs, onRecovered);
            default -> terminate(machine, onRecovered);
        }
    }

    private void restartAfter(Machine machine, double durationMs, Runnable recovered) {
        fleet.time().after(durationMs, () -> {
            machine.start();
            fleet.contact().recordFault(machine);
            recovered.run();
        });
    }

    void kill(Machine machine, double durationMs, Runnable recovered) {
        fleet.contact().recordFault(machine);
        machine.kill();
        restartAfter(machine, durationMs, recovered);
    }

    void powerLoss(Machine machine, double durationMs, Runnable recovered) {
        fleet.contact().recordFault(machine);
        machine.losePower();
        restartAfter(machine, durationMs, recovered);
    }

    void wipe(ControlMachine machine, double durationMs, Runnable recovered) {
        fleet.contact().recordFault(machine);
        if (random.nextBoolean()) {
            machine.kill();
        } else {
            machine.losePower();
        }
        machine.wipe();
        fleet.contact().recordStartWithEmptyDisk(machine);
        restartAfter(machine, durationMs, recovered);
    }

    void terminate(ControlMachine machine, Runnable recovered) {
        if (!machine.isRunning()) {
            recovered.run();
            return;
        }
        fleet.contact().recordFault(machine);
        machine.terminate(SHORT_FAULT_MS);
        awaitRestart(machine, machine.incarnationCount(), recovered);
    }

    private void awaitRestart(ControlMachine machine, int incarnationCount, Runnable recovered) {
        fleet.contact().recordFault(machine);
        if (machine.isRemoved() || machine.hasProcess() && machine.incarnationCount() > incarnationCount) {
            recovered.run();
        } else {
            fleet.time().after(10, () -> awaitRestart(machine, incarnationCount, recovered));
        }
    }

    void replace(ControlMachine machine, double delayMs, Runnable recovered) {
        fleet.contact().recordFault(machine);
        List<String> seeds = random.nextBoolean() ? fleet.currentSeeds(random) : fleet.firstSeeds();
        fleet.log(machine.name() + " is removed");
        machine.remove();
        fleet.time().after(delayMs, () -> {
            ControlMachine successor = fleet.addControlMachine(seeds, false);
            fleet.contact().recordFault(successor);
            fleet.contact().recordStartWithEmptyDisk(successor);
            successor.start();
            recovered.run();
        });
    }

    void pause(Machine machine, double durationMs, Runnable recovered) {
        fleet.contact().recordFault(machine);
        machine.pause();
        fleet.time().after(durationMs, () -> {
            fleet.contact().recordFault(machine);
            machine.resume();
            recovered.run();
        });
    }

    /** Simulates a processor quota: the process is repeatedly paused and resumed. */
    void limitProcessor(Machine machine, double runMs, double pauseMs, double untilMs) {
        if (fleet.time().now() >= untilMs) {
            return;
        }
        ProcessIncarnation pausedIncarnation = machine.incarnation();
        if (pausedIncarnation != null) {
            pausedIncarnation.pause();
        }
        fleet.time().after(pauseMs, () -> {
            if (pausedIncarnation != null && !pausedIncarnation.hasEnded()) {
                pausedIncarnation.resume(random.nextBoolean());
            }
            fleet.time().after(runMs, () -> limitProcessor(machine, runMs, pauseMs, untilMs));
        });
    }

    /** Partitions a core machine from the core or from all machines, in one direction or both. */
    void isolate(
            ControlMachine machine, double durationMs, boolean everyMachine, boolean bothWays, Runnable recovered) {
        boolean outbound = bothWays || random.nextBoolean();
        List<Machine> others = List.copyOf(everyMachine ? fleet.machines() : fleet.core());
        fleet.log(machine.name() + " is partitioned" + (everyMachine ? "" : " from the core")
                + (bothWays ? "" : outbound ? ", outbound" : ", inbound"));
        fleet.contact().recordFault(machine);
        for (Machine other : others) {
            if (other != machine) {
                setPartitioned(machine.ip(), other.ip(), outbound, bothWays || !outbound, true);
            }
        }
        if (everyMachine) {
            setPartitioned(machine.ip(), SimulatedPlatform.IP, outbound, bothWays || !outbound, true);
        }
        fleet.time().after(durationMs, () -> {
            fleet.log(machine.name() + " is connected again");
            fleet.contact().recordFault(machine);
            for (Machine other : others) {
                if (other != machine) {
                    setPartitioned(machine.ip(), other.ip(), outbound, bothWays || !outbound, false);
                }
            }
            if (everyMachine) {
                setPartitioned(machine.ip(), SimulatedPlatform.IP, outbound, bothWays || !outbound, false);
            }
            recovered.run();
        });
    }

    private void setPartitioned(String ip, String other, boolean outbound, boolean inbound, boolean partitioned) {
        if (outbound) {
            setDirectionPartitioned(ip, other, partitioned);
        }
        if (inbound) {
            setDirectionPartitioned(other, ip, partitioned);
        }
    }

    private void setDirectionPartitioned(String from, String to, boolean partitioned) {
        if (partitioned) {
            fleet.network().partition(from, to);
        } else {
            fleet.network().heal(from, to);
        }
    }

    private void degradeDisk(ControlMachine machine, double durationMs, Runnable recovered) {
        fleet.contact().recordFault(machine);
        int kind = random.nextInt(3);
        fleet.log("the disk of " + machine.name() + " is " + (kind == 0 ? "full" : kind == 1 ? "stalled" : "slow"));
        if (kind == 0) {
            machine.disk().setFull(true);
        } else if (kind == 1) {
            machine.diskFaults().stalledUntilMs = fleet.time().now() + durationMs;
        } else {
            machine.diskFaults().extraLatencyMs = 30 + random.nextInt(200);
        }
        fleet.time().after(durationMs, () -> {
            machine.disk().setFull(false);
            machine.diskFaults().extraLatencyMs = 0;
            fleet.contact().recordFault(machine);
            fleet.log("the disk of " + machine.name() + " is healthy");
            recovered.run();
        });
    }

    /** Injects faults that do not count towards the tolerance: in data planes, clocks, seeds and the platform. */
    private void injectUncounted() {
        if (fleet.time().now() >= endMs) {
            return;
        }
        DataMachine data = fleet.edge().get(random.nextInt(fleet.edge().size()));
        List<ControlMachine> core = fleet.core();
        ControlMachine control = core.get(random.nextInt(core.size()));
        double durationMs = random.nextDouble() * MAX_FAULT_MS / 2;
        switch (random.nextInt(6)) {
            case 0 -> kill(data, SHORT_FAULT_MS, () -> {});
            case 1 -> pause(data, durationMs, () -> {});
            case 2 -> partitionDataPlane(data, control, durationMs);
            case 3 -> fleet.platform().failFor(durationMs);
            case 4 -> {
                control.stepClock((random.nextDouble() - 0.5) * MAX_CLOCK_STEP_MS);
                fleet.contact().recordFault(control);
            }
            default -> {
                data.changeSeeds(fleet.currentSeeds(random));
                control.changeSeeds(fleet.currentSeeds(random));
            }
        }
        fleet.time().after(random.nextDouble() * 2 * MEAN_INTERVAL_MS, this::injectUncounted);
    }

    private void partitionDataPlane(DataMachine data, ControlMachine control, double durationMs) {
        boolean outbound = random.nextBoolean();
        boolean inbound = !outbound || random.nextBoolean();
        setPartitioned(data.ip(), control.ip(), outbound, inbound, true);
        fleet.time().after(durationMs, () -> setPartitioned(data.ip(), control.ip(), outbound, inbound, false));
    }

    // ---- beyond the tolerance --------------------------------------------------------------------------------

    /** Injects any number of faults at the same time; at most one machine loses its disk. */
    void injectBeyondTolerance(double from, double end) {
        endMs = end;
        fleet.contact().allowFaultsBeyondTolerance();
        fleet.time().at(from, this::injectAnyFault);
        fleet.time().at(from + random.nextDouble() * MEAN_INTERVAL_MS, this::injectUncounted);
    }

    private void injectAnyFault() {
        if (fleet.time().now() >= endMs) {
            return;
        }
        List<ControlMachine> core = fleet.core();
        ControlMachine machine = core.get(random.nextInt(core.size()));
        int kind = random.nextInt(10);
        if ((kind == 5 || kind == 6) && wiped) {
            kind = 0;
        }
        wiped |= kind == 5 || kind == 6;
        if (kind == 9) {
            failAll(random.nextBoolean(), random.nextInt(3) == 0);
        } else {
            injectFault(machine, kind, () -> {});
        }
        fleet.time().after(random.nextDouble() * 2 * MEAN_INTERVAL_MS, this::injectAnyFault);
    }

    /** Kills the processes or cuts the power of all core machines, or of all machines of the fleet. */
    void failAll(boolean powerLost, boolean includesEdge) {
        for (Machine machine : includesEdge ? fleet.machines() : fleet.core()) {
            double durationMs = random.nextDouble() * 1_000;
            if (powerLost) {
                powerLoss(machine, durationMs, () -> {});
            } else {
                kill(machine, durationMs, () -> {});
            }
        }
    }
}
