package dewplank.register;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** The initial state of a model, and how often each fault may occur. */
final class ModelScenario {
    private static final double NO_DEADLINE_MS = Double.MAX_VALUE;

    final String name;
    final List<ModelProcess> processes = new ArrayList<>();
    final List<DurableState> disks = new ArrayList<>();
    int timeouts;
    int kills;
    int failures;
    int wipes;
    int wiped;
    boolean slowDisks;
    boolean wipedKeepsIdentity;

    /**
     * Processes {@code 0} to {@code size - 1}; the first {@code members} are the acceptors, the others have no initial
     * acceptors.
     */
    ModelScenario(String name, int size, int members, Class<?>... droppedTypes) {
        this.name = name;
        List<AcceptorId> first = new ArrayList<>();
        for (int index = 0; index < members; index++) {
            first.add(acceptor(index, 0));
        }
        for (int index = 0; index < size; index++) {
            AcceptorSet initial = AcceptorSet.of(index < members ? first : List.of());
            DurableState disk = DurableState.fresh(identity(index, 0));
            disks.add(disk);
            processes.add(ModelProcess.started(
                    RegisterBuilder.settings(address(index), initial), Set.of(droppedTypes), disk, 0));
        }
    }

    static String address(int index) {
        return String.valueOf((char) ('a' + index));
    }

    static String identity(int index, int wipes) {
        return address(index) + wipes;
    }

    /** The acceptor of a process whose disk was emptied so many times. */
    static AcceptorId acceptor(int index, int wipes) {
        return new AcceptorId(address(index), identity(index, wipes));
    }

    static ModelProcess.Action change(int version, int base) {
        return (register, effects) ->
                register.change(0, version, VersionHistory.change(version, base), NO_DEADLINE_MS, effects);
    }

    static ModelProcess.Action reconfigure(long generation, AcceptorId... target) {
        return (register, effects) ->
                register.reconfigure(0, generation + 1000, generation, List.of(target), NO_DEADLINE_MS, effects);
    }

    ModelScenario with(int maxTimeoutsPerProcess, int maxKills, int maxStoreFailures) {
        timeouts = maxTimeoutsPerProcess;
        kills = maxKills;
        failures = maxStoreFailures;
        return this;
    }

    ModelScenario wiping(int process) {
        wipes = 1;
        wiped = process;
        return this;
    }

    /** Breaks the rule that a new disk is a new acceptor, to see that the model notices. */
    ModelScenario keepingIdentity() {
        wipedKeepsIdentity = true;
        return this;
    }

    ModelScenario withSlowDisks() {
        slowDisks = true;
        return this;
    }
}
