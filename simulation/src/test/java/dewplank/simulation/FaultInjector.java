package dewplank.simulation;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Injects faults: within the tolerance, one counted machine at a time, the next one exactly catch_up_s after the last
 * is back or its successor has started; or without it, any number at once, with disks kept.
 */
final class FaultInjector {
    private static final double MEAN_PAUSE_MS = 900;
    private static final double MAX_LOSS_MS = 3_500;
    private static final double SHORT_LOSS_MS = 700;
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

    /** Whether no counted machine has a fault. */
    boolean isOver() {
        return activeFaults == 0;
    }

    // ---- within the tolerance --------------------------------------------------------------------------------

    /** Loses one counted machine after the other; the last is back before the end. */
    void tolerated(double from, double end) {
        endMs = end;
        fleet.time().at(from, this::loseNext);
        fleet.time().at(from + random.nextDouble() * MEAN_PAUSE_MS, this::uncounted);
    }

    private void loseNext() {
        if (fleet.time().now() >= endMs) {
            return;
        }
        List<ControlMachine> core = fleet.core();
        lose(core.get(random.nextInt(core.size())), random.nextInt(9), this::scheduleNextLoss);
    }

    private void scheduleNextLoss() {
        double spare = random.nextBoolean() ? 0 : random.nextDouble() * 2_000;
        fleet.time().after(SimulatedFleet.CATCH_UP_MS + spare, this::loseNext);
    }

    /** Brings a loss of that kind; the last argument is told when the machine is back or its successor starts. */
    void lose(ControlMachine machine, int kind, Runnable back) {
        double length = random.nextInt(3) == 0 ? SHORT_LOSS_MS : random.nextDouble() * MAX_LOSS_MS;
        activeFaults++;
        Runnable over = () -> {
            activeFaults--;
            back.run();
        };
        switch (kind) {
            case 0 -> kill(machine, length, over);
            case 1 -> freeze(machine, length, over);
            case 2 -> cutOff(machine, length, true, true, over);
            case 3 -> cutOff(machine, length, random.nextBoolean(), false, over);
            case 4 -> powerLoss(machine, length, over);
            case 5 -> wipe(machine, length, over);
            case 6 -> replace(machine, random.nextDouble() * 2_000, over);
            case 7 -> disk(machine, length, over);
            default -> terminate(machine, over);
        }
    }

    private void restartAfter(Machine machine, double length, Runnable back) {
        fleet.time().after(length, () -> {
            machine.start();
            fleet.contact().disturbed(machine);
            back.run();
        });
    }

    void kill(Machine machine, double length, Runnable back) {
        fleet.contact().disturbed(machine);
        machine.kill();
        restartAfter(machine, length, back);
    }

    void powerLoss(Machine machine, double length, Runnable back) {
        fleet.contact().disturbed(machine);
        machine.losePower();
        restartAfter(machine, length, back);
    }

    void wipe(ControlMachine machine, double length, Runnable back) {
        fleet.contact().disturbed(machine);
        if (random.nextBoolean()) {
            machine.kill();
        } else {
            machine.losePower();
        }
        machine.wipe();
        fleet.contact().startedEmpty(machine);
        restartAfter(machine, length, back);
    }

    void terminate(ControlMachine machine, Runnable back) {
        if (!machine.runs()) {
            back.run();
            return;
        }
        fleet.contact().disturbed(machine);
        machine.terminate(SHORT_LOSS_MS);
        awaitBack(machine, machine.incarnationCount(), back);
    }

    private void awaitBack(ControlMachine machine, int incarnationCount, Runnable back) {
        fleet.contact().disturbed(machine);
        if (machine.isRemoved() || machine.isUp() && machine.incarnationCount() > incarnationCount) {
            back.run();
        } else {
            fleet.time().after(10, () -> awaitBack(machine, incarnationCount, back));
        }
    }

    void replace(ControlMachine machine, double pause, Runnable back) {
        fleet.contact().disturbed(machine);
        List<String> seeds = random.nextBoolean() ? fleet.seedsNow(random) : fleet.firstSeeds();
        fleet.log(machine.name() + " is taken away");
        machine.remove();
        fleet.time().after(pause, () -> {
            ControlMachine successor = fleet.newControl(seeds, false);
            fleet.contact().disturbed(successor);
            fleet.contact().startedEmpty(successor);
            successor.start();
            back.run();
        });
    }

    void freeze(Machine machine, double length, Runnable back) {
        fleet.contact().disturbed(machine);
        machine.freeze();
        fleet.time().after(length, () -> {
            fleet.contact().disturbed(machine);
            machine.thaw();
            back.run();
        });
    }

    /** A processor with a quota: the process runs for a while and stands still for a while, again and again. */
    void quota(Machine machine, double runMs, double standMs, double untilMs) {
        if (fleet.time().now() >= untilMs) {
            return;
        }
        ProcessIncarnation standing = machine.incarnation();
        if (standing != null) {
            standing.freeze();
        }
        fleet.time().after(standMs, () -> {
            if (standing != null && !standing.isOver()) {
                standing.thaw(random.nextBoolean());
            }
            fleet.time().after(runMs, () -> quota(machine, runMs, standMs, untilMs));
        });
    }

    /** Cuts a core machine off from the core, one way or both, and perhaps from all else too. */
    void cutOff(ControlMachine machine, double length, boolean all, boolean bothWays, Runnable back) {
        boolean out = bothWays || random.nextBoolean();
        List<Machine> others = List.copyOf(all ? fleet.machines() : fleet.core());
        fleet.log(machine.name() + " is cut off" + (all ? "" : " from the core")
                + (bothWays ? "" : out ? ", outwards" : ", inwards"));
        fleet.contact().disturbed(machine);
        for (Machine other : others) {
            if (other != machine) {
                cut(machine.ip(), other.ip(), out, bothWays || !out, true);
            }
        }
        if (all) {
            cut(machine.ip(), SimulatedPlatform.IP, out, bothWays || !out, true);
        }
        fleet.time().after(length, () -> {
            fleet.log(machine.name() + " is joined again");
            fleet.contact().disturbed(machine);
            for (Machine other : others) {
                if (other != machine) {
                    cut(machine.ip(), other.ip(), out, bothWays || !out, false);
                }
            }
            if (all) {
                cut(machine.ip(), SimulatedPlatform.IP, out, bothWays || !out, false);
            }
            back.run();
        });
    }

    private void cut(String ip, String other, boolean out, boolean in, boolean begins) {
        if (out) {
            toggle(ip, other, begins);
        }
        if (in) {
            toggle(other, ip, begins);
        }
    }

    private void toggle(String from, String to, boolean begins) {
        if (begins) {
            fleet.network().cut(from, to);
        } else {
            fleet.network().heal(from, to);
        }
    }

    private void disk(ControlMachine machine, double length, Runnable back) {
        fleet.contact().disturbed(machine);
        int kind = random.nextInt(3);
        fleet.log("the disk of " + machine.name() + " is " + (kind == 0 ? "full" : kind == 1 ? "stalled" : "slow"));
        if (kind == 0) {
            machine.disk().fill(true);
        } else if (kind == 1) {
            machine.diskFaults().stalledUntil = fleet.time().now() + length;
        } else {
            machine.diskFaults().slowerBy = 30 + random.nextInt(200);
        }
        fleet.time().after(length, () -> {
            machine.disk().fill(false);
            machine.diskFaults().slowerBy = 0;
            fleet.contact().disturbed(machine);
            fleet.log("the disk of " + machine.name() + " is well");
            back.run();
        });
    }

    /** What is not counted: data planes, clocks, seeds, the platform. */
    private void uncounted() {
        if (fleet.time().now() >= endMs) {
            return;
        }
        DataMachine data = fleet.edge().get(random.nextInt(fleet.edge().size()));
        List<ControlMachine> core = fleet.core();
        ControlMachine control = core.get(random.nextInt(core.size()));
        double length = random.nextDouble() * MAX_LOSS_MS / 2;
        switch (random.nextInt(6)) {
            case 0 -> kill(data, SHORT_LOSS_MS, () -> {});
            case 1 -> freeze(data, length, () -> {});
            case 2 -> cutDataPlane(data, control, length);
            case 3 -> fleet.platform().breakDown(length);
            case 4 -> {
                control.stepClock((random.nextDouble() - 0.5) * MAX_CLOCK_STEP_MS);
                fleet.contact().disturbed(control);
            }
            default -> {
                data.seeds(fleet.seedsNow(random));
                control.seeds(fleet.seedsNow(random));
            }
        }
        fleet.time().after(random.nextDouble() * 2 * MEAN_PAUSE_MS, this::uncounted);
    }

    private void cutDataPlane(DataMachine data, ControlMachine control, double length) {
        boolean out = random.nextBoolean();
        boolean in = !out || random.nextBoolean();
        cut(data.ip(), control.ip(), out, in, true);
        fleet.time().after(length, () -> cut(data.ip(), control.ip(), out, in, false));
    }

    // ---- without tolerance -----------------------------------------------------------------------------------

    /** Any number of troubles at once. Disks last, but for one machine's at the most. */
    void unbounded(double from, double end) {
        endMs = end;
        fleet.contact().beyondTolerance();
        fleet.time().at(from, this::any);
        fleet.time().at(from + random.nextDouble() * MEAN_PAUSE_MS, this::uncounted);
    }

    private void any() {
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
            all(random.nextBoolean(), random.nextInt(3) == 0);
        } else {
            lose(machine, kind, () -> {});
        }
        fleet.time().after(random.nextDouble() * 2 * MEAN_PAUSE_MS, this::any);
    }

    /** All processes are killed, or lose power; the core's alone, or all. */
    void all(boolean powerLost, boolean edgeToo) {
        for (Machine machine : edgeToo ? fleet.machines() : fleet.core()) {
            double length = random.nextDouble() * 1_000;
            if (powerLost) {
                powerLoss(machine, length, () -> {});
            } else {
                kill(machine, length, () -> {});
            }
        }
    }
}
