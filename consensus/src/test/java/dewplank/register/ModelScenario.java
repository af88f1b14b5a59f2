package dewplank.register;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** What a model starts with, and how often each trouble may come. */
final class ModelScenario {
    private static final double NEVER = Double.MAX_VALUE;

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

    /** Processes {@code 0} to {@code size - 1}; the first {@code members} are the acceptors, the rest know none. */
    ModelScenario(String name, int size, int members, Class<?>... lost) {
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
                    new Register.Settings(address(index), initial, 300, 20, 400, 500), Set.of(lost), disk, 0));
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
        return (register, out) -> register.change(0, version, VersionHistory.change(version, base), NEVER, out);
    }

    static ModelProcess.Action replace(long generation, AcceptorId... wanted) {
        return (register, out) -> register.reconfigure(0, generation + 1000, generation, List.of(wanted), NEVER, out);
    }

    ModelScenario with(int timeoutsEach, int killsInAll, int failuresInAll) {
        timeouts = timeoutsEach;
        kills = killsInAll;
        failures = failuresInAll;
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
