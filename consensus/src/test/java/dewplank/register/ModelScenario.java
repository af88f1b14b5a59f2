package dewplank.register;

import java.util.ArrayList;
import java.util.HashSet;
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
    final Set<Integer> wiped = new HashSet<>();
    private final Set<Integer> withoutDisk;
    boolean slowDisks;
    boolean wipedDiskKeepsIdentity;

    /**
     * Creates processes {@code 0} to {@code size - 1}. The first {@code members} processes are the acceptors; the
     * others have no initial acceptors.
     */
    ModelScenario(String name, int size, int members, Class<?>... droppedTypes) {
        this.name = name;
        this.withoutDisk = Set.of();
        Set<Class<?>> dropped = new HashSet<>(Set.of(droppedTypes));
        dropped.add(AntiEntropy.class);
        List<AcceptorId> first = new ArrayList<>();
        for (int index = 0; index < members; index++) {
            first.add(acceptor(index, 0));
        }
        for (int index = 0; index < size; index++) {
            add(index, AcceptorSet.of(index < members ? first : List.of()), dropped);
        }
    }

    /**
     * A bootstrap: all processes have the same initial acceptors, some of which have no disk. The queries of
     * anti-entropy are delivered, because the reports show which acceptors have ended.
     */
    ModelScenario(String name, int size, List<Integer> members, Set<Integer> withoutDisk, Class<?>... droppedTypes) {
        this.name = name;
        this.withoutDisk = withoutDisk;
        List<AcceptorId> first = members.stream()
                .map(index -> new AcceptorId(address(index), firstIdentity(index)))
                .toList();
        for (int index = 0; index < size; index++) {
            add(index, AcceptorSet.of(first), Set.of(droppedTypes));
        }
    }

    private void add(int index, AcceptorSet initial, Set<Class<?>> dropped) {
        DurableState disk = DurableState.fresh(firstIdentity(index));
        disks.add(disk);
        processes.add(ModelProcess.started(RegisterBuilder.settings(address(index), initial), dropped, disk, 0));
    }

    static String address(int index) {
        return String.valueOf((char) ('a' + index));
    }

    static String identity(int index, int wipes) {
        return address(index) + wipes;
    }

    String firstIdentity(int index) {
        return identityOf(index, 0);
    }

    /** The identity after the disk is emptied, or after a process without a disk restarts. */
    String nextIdentity(int index) {
        return identityOf(index, wipedDiskKeepsIdentity ? 0 : 1);
    }

    private String identityOf(int index, int wipeCount) {
        return withoutDisk.contains(index)
                ? AcceptorId.volatileIdentity(address(index), String.valueOf(wipeCount))
                : identity(index, wipeCount);
    }

    /** The number of timeouts of the process; 0 for one without a disk, which proposes nothing. */
    int timeoutsOf(int index) {
        return withoutDisk.contains(index) ? 0 : timeouts;
    }

    /** The acceptor of a process whose disk was emptied {@code wipes} times. */
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

    ModelScenario withLimits(int maxTimeoutsPerProcess, int maxKills, int maxStoreFailures) {
        timeouts = maxTimeoutsPerProcess;
        kills = maxKills;
        failures = maxStoreFailures;
        return this;
    }

    ModelScenario wiping(int process) {
        wipes = 1;
        wiped.add(process);
        return this;
    }

    /** Lets these processes without a disk restart, each at most once. */
    ModelScenario restarting(Integer... processes) {
        wipes = processes.length;
        wiped.addAll(List.of(processes));
        return this;
    }

    /** Violates the rule that a new disk is a new acceptor, to test that the model detects it. */
    ModelScenario keepingIdentity() {
        wipedDiskKeepsIdentity = true;
        return this;
    }

    ModelScenario withSlowDisks() {
        slowDisks = true;
        return this;
    }
}
