package dewplank.register;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Kills, wipes, freezes and cuts at random, and replaces acceptors. */
final class Troubles {
    private static final double USUAL_PAUSE = 260;
    private static final double LONGEST_TROUBLE = 1500;
    private static final double PATIENCE = 3000;

    private final SimulatedFleet fleet;
    private final SplittableRandom random;
    private SimulatedProcess wiped;
    private AcceptorId lost;
    private boolean over;

    Troubles(SimulatedFleet fleet, SplittableRandom random) {
        this.fleet = fleet;
        this.random = random;
    }

    void begin() {
        fleet.network().worsen();
        next();
    }

    /** Ends all troubles; a wiped acceptor is still replaced. */
    void end() {
        over = true;
        fleet.network().heal();
        for (SimulatedProcess process : fleet.processes()) {
            process.fillDisk(false);
            process.stallDisk(0);
            process.thaw();
            if (!process.isUp()) {
                process.start();
            }
        }
    }

    boolean isReplaced() {
        return wiped == null;
    }

    private void next() {
        if (over) {
            return;
        }
        trouble(fleet.any(random), random.nextDouble() * LONGEST_TROUBLE);
        fleet.events().after(random.nextDouble() * 2 * USUAL_PAUSE, this::next);
    }

    private void trouble(SimulatedProcess process, double length) {
        switch (random.nextInt(8)) {
            case 0 -> kill(process, length / 4);
            case 1 -> killAll();
            case 2 -> freeze(process, length);
            case 3 -> fill(process, length);
            case 4 -> process.stallDisk(fleet.now() + length);
            case 5 -> cut(process, length, random.nextInt(3));
            case 6 -> wipe(process, length / 4);
            default -> resize(process);
        }
    }

    private void kill(SimulatedProcess process, double length) {
        process.kill();
        fleet.events().after(length, () -> restart(process));
    }

    private void killAll() {
        if (random.nextInt(4) != 0) {
            return;
        }
        for (SimulatedProcess process : fleet.processes()) {
            kill(process, random.nextDouble() * 200);
        }
    }

    private void restart(SimulatedProcess process) {
        if (!process.isUp()) {
            process.start();
        }
    }

    private void freeze(SimulatedProcess process, double length) {
        process.freeze();
        fleet.events().after(length, process::thaw);
    }

    private void fill(SimulatedProcess process, double length) {
        process.fillDisk(true);
        fleet.events().after(length, () -> process.fillDisk(false));
    }

    /** Cuts a process off whole, or only what it sends, or only what it is sent. */
    private void cut(SimulatedProcess process, double length, int kind) {
        for (SimulatedProcess other : fleet.processes()) {
            if (kind != 0) {
                fleet.network().cut(process.address(), other.address());
            }
            if (kind != 1) {
                fleet.network().cut(other.address(), process.address());
            }
            fleet.events().after(length, () -> {
                fleet.network().mend(process.address(), other.address());
                fleet.network().mend(other.address(), process.address());
            });
        }
    }

    private void wipe(SimulatedProcess process, double length) {
        if (!fleet.rules().wipes() || wiped != null) {
            return;
        }
        wiped = process;
        lost = process.acceptor();
        process.wipe();
        fleet.events().after(length, () -> {
            restart(process);
            if (fleet.rules().wipedKeepsIdentity()) {
                wiped = null;
            } else {
                replaceLost();
            }
        });
    }

    private void replaceLost() {
        SimulatedProcess asked = fleet.any(random);
        AcceptorSet set = newestSet(asked);
        fleet.replace(asked, set.generation(), withoutLost(set), PATIENCE, outcome -> {
            boolean confirmed = outcome instanceof Outcome.Confirmed;
            if (confirmed
                    && !((Outcome.Confirmed) outcome).value().acceptors().all().contains(lost)) {
                wiped = null;
            } else {
                replaceLost();
            }
        });
    }

    private AcceptorSet newestSet(SimulatedProcess asked) {
        RegisterValue newest = fleet.newestChosen();
        AcceptorSet known = asked.isUp() ? asked.register().acceptors() : AcceptorSet.of(List.of());
        return newest == null ? known : newest.acceptors();
    }

    private List<AcceptorId> withoutLost(AcceptorSet set) {
        List<AcceptorId> wanted = new ArrayList<>();
        for (AcceptorId acceptor : set.isJoint() ? set.joining() : set.members()) {
            wanted.add(acceptor.equals(lost) ? wiped.acceptor() : acceptor);
        }
        return wanted;
    }

    private void resize(SimulatedProcess asked) {
        if (!fleet.rules().resizes()) {
            return;
        }
        List<AcceptorId> wanted = new ArrayList<>();
        for (SimulatedProcess process : fleet.processes()) {
            if (random.nextInt(3) != 0) {
                wanted.add(process.acceptor());
            }
        }
        fleet.replace(asked, wanted, PATIENCE, outcome -> {});
    }
}
