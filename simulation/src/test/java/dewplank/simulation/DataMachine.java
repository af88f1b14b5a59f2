package dewplank.simulation;

import dewplank.dataplane.DataProcess;
import dewplank.membership.Member;
import java.util.List;
import java.util.SplittableRandom;

/** An edge machine: what the data plane knows, without its traffic. */
final class DataMachine extends Machine {
    private List<String> seeds;
    private DataProcess process;

    DataMachine(World world, String name, String ip, List<String> seeds, SplittableRandom random) {
        super(world, name, ip, random);
        this.seeds = seeds;
    }

    DataProcess process() {
        return process;
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
    boolean begin(Life begun) {
        Member self = new Member(name(), Member.DATA, ip() + ":" + (INTERNAL_PORT + 1), "z", wallClockMs());
        process = new DataProcess(
                begun, world().network().transport(this, begun), self, random().split(), World.CONTACT_MS, addresses());
        begun.execute(process::start);
        return true;
    }

    @Override
    void ended(boolean powerLost) {
        process = null;
        world().judge().ended(this);
    }

    @Override
    void observe() {
        if (process != null) {
            world().judge().observe(this);
        }
    }
}
