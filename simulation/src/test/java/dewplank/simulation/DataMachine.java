package dewplank.simulation;

import dewplank.dataplane.DataProcess;
import dewplank.membership.Member;
import java.util.List;
import java.util.SplittableRandom;

/** An edge machine with a data plane's session client and fleet metadata, without request traffic. */
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

    /** The incarnation number that the process reports: the wall-clock time of its start. */
    long incarnationAtStart() {
        return incarnationAtStart;
    }

    void changeSeeds(List<String> next) {
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
    boolean startProcess(ProcessIncarnation newIncarnation) {
        incarnationAtStart = wallClockMs();
        Member self = new Member(name(), Member.DATA, ip() + ":" + (INTERNAL_PORT + 1), "z", incarnationAtStart);
        process = new DataProcess(
                newIncarnation,
                fleet().network().transport(this, newIncarnation),
                self,
                random().split(),
                SimulatedFleet.CONTACT_MS,
                addresses());
        newIncarnation.execute(process::start);
        return true;
    }

    @Override
    void onProcessEnded(boolean powerLost) {
        process = null;
        fleet().invariants().onProcessEnded(this);
    }

    @Override
    void observe() {
        if (process != null) {
            fleet().invariants().observe(this);
        }
    }
}
