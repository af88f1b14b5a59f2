package dewplank.simulation;

import dewplank.dataplane.DataProcess;
import dewplank.membership.Member;
import java.util.List;
import java.util.SplittableRandom;

/** An edge machine: what the data plane knows, without its traffic. */
final class DataMachine extends Machine {
    private List<String> seeds;
    private DataProcess process;
    private long incarnationAtStart;

    DataMachine(SimulatedFleet fleet, String name, String ip, List<String> seeds, SplittableRandom random) {
        super(fleet, name, ip, random);
        this.seeds = seeds;
    }

    DataProcess process() {
        return process;
    }

    /** The incarnation that the process names itself by. */
    long incarnationAtStart() {
        return incarnationAtStart;
    }

    void seeds(List<String> next) {
        seeds = next;
        if (process != null) {
            process.reload(addresses());
        }
    }

    private List<String> addresses() {
        return seeds.stream()
                .map(s -> s.substring(0, s.indexOf(':')) + ":" + INTERNAL_PORT)
                .toList();
    }

    @Override
    boolean begin(ProcessIncarnation begun) {
        incarnationAtStart = wallClockMs();
        Member self = new Member(name(), Member.DATA, ip() + ":" + (INTERNAL_PORT + 1), "z", incarnationAtStart);
        process = new DataProcess(
                begun,
                fleet().network().transport(this, begun),
                self,
                random().split(),
                SimulatedFleet.CONTACT_MS,
                addresses());
        begun.execute(process::start);
        return true;
    }

    @Override
    void ended(boolean powerLost) {
        process = null;
        fleet().invariants().ended(this);
    }

    @Override
    void observe() {
        if (process != null) {
            fleet().invariants().observe(this);
        }
    }
}
