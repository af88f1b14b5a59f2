package dewplank.simulation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Determines which data planes are in contact, as the operators' rules define it, and whether the core is stable. */
final class ContactTracker {
    private final SimulatedFleet fleet;
    private final Map<Machine, Double> lastFaultAt = new HashMap<>();
    private double coreFaultAt;
    private double linksFaultAt;
    private double lastCheckAt;
    private boolean beyondTolerance;
    private double noContactUntilMs;
    private final Map<ControlMachine, Double> connectedMs = new HashMap<>();

    ContactTracker(SimulatedFleet fleet) {
        this.fleet = fleet;
    }

    /**
     * Permits faults at shorter intervals than the fault tolerance allows. A machine that started with an empty disk
     * then counts as lost until it has been connected for catch_up_s to a machine that reaches a majority.
     */
    void allowFaultsBeyondTolerance() {
        beyondTolerance = true;
    }

    /** Records that a core machine starts with an empty disk while the fleet is running. */
    void recordStartWithEmptyDisk(ControlMachine machine) {
        connectedMs.put(machine, 0.0);
    }

    /** Records that a fault begins or ends at a machine. */
    void recordFault(Machine machine) {
        lastFaultAt.put(machine, fleet.time().now());
        if (machine instanceof ControlMachine) {
            coreFaultAt = fleet.time().now();
        }
    }

    /** Records that a core machine is partitioned from other core machines, or that the partition heals. */
    void recordCoreFault() {
        coreFaultAt = fleet.time().now();
    }

    /** Counts no data plane as in contact until the given time, as the acceptors are not a majority of the core. */
    void suppressContactUntil(double atMs) {
        noContactUntilMs = atMs;
    }

    /** Evaluates the current state of the fleet. */
    void check() {
        double now = fleet.time().now();
        List<ControlMachine> core = fleet.core();
        for (ControlMachine control : core) {
            if (isCatchingUp(control)
                    && core.stream()
                            .anyMatch(other ->
                                    other != control && reachesMajority(other, core) && isConnected(other, control))) {
                connectedMs.merge(control, now - lastCheckAt, Double::sum);
            }
        }
        lastCheckAt = now;
        List<ControlMachine> connected =
                core.stream().filter(control -> reachesMajority(control, core)).toList();
        if (connected.isEmpty()) {
            coreFaultAt = now;
        }
        if (!fleet.network().isFullyConnected()) {
            linksFaultAt = now;
        }
        for (DataMachine data : fleet.edge()) {
            if (!data.isRunning() || connected.stream().anyMatch(control -> !isConnected(data, control))) {
                lastFaultAt.put(data, now);
            }
        }
    }

    private boolean reachesMajority(ControlMachine from, List<ControlMachine> core) {
        return from.isRunning()
                && 2
                                * core.stream()
                                        .filter(control -> control.isRunning()
                                                && isConnected(from, control)
                                                && !(beyondTolerance && isCatchingUp(control)))
                                        .count()
                        > core.size();
    }

    private boolean isCatchingUp(ControlMachine machine) {
        return machine.isRunning()
                && connectedMs.getOrDefault(machine, SimulatedFleet.CATCH_UP_MS) < SimulatedFleet.CATCH_UP_MS;
    }

    private boolean isConnected(Machine first, Machine second) {
        return fleet.network().reaches(first, second) && fleet.network().reaches(second, first);
    }

    boolean isInContact(DataMachine data) {
        double faultFreeSince = Math.max(noContactUntilMs, Math.max(coreFaultAt, lastFaultAt.getOrDefault(data, 0.0)));
        return fleet.time().now() - faultFreeSince > SimulatedFleet.CONTACT_MS;
    }

    /** The time since which the core has been stable and no link has had a fault. */
    double faultFreeSince() {
        return Math.max(coreFaultAt + SimulatedFleet.CONTACT_MS, linksFaultAt);
    }
}
