package dewplank.dataplane;

import dewplank.configuration.Configuration;
import dewplank.membership.Member;
import dewplank.message.MessageTransport;
import dewplank.net.Scheduler;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/** The production session client and fleet metadata of a data plane, on simulated time and links. */
public final class DataProcess {
    private final FleetMetadata fleet;
    private final SessionClient sessions;

    public DataProcess(
            Scheduler scheduler,
            MessageTransport transport,
            Member self,
            RandomGenerator random,
            double contactMs,
            List<String> controlAddresses) {
        fleet = new FleetMetadata(scheduler);
        sessions = new SessionClient(scheduler, transport, self, fleet, random, contactMs, () -> {});
        sessions.setSeeds(controlAddresses);
    }

    /** Starts to open sessions. */
    public void start() {
        sessions.start();
    }

    /** Applies a changed settings file. */
    public void reload(List<String> controlAddresses) {
        sessions.setSeeds(controlAddresses);
    }

    /** The configuration in force; null before the first. */
    public Configuration configuration() {
        return fleet.configuration();
    }

    public long version() {
        return fleet.configurationVersion();
    }

    public String listVersion() {
        return fleet.listVersion().toString();
    }

    /** The fencing token and the revision of the endpoint list in force. */
    public long[] listVersionNumbers() {
        return new long[] {fleet.listVersion().fencingToken, fleet.listVersion().revision};
    }

    /** The instance IDs of the endpoint list in force. */
    public Set<String> instances() {
        Set<String> ids = new TreeSet<>();
        fleet.allServers().forEach(s -> ids.add(s.state.instanceId()));
        return ids;
    }

    /** Whether the metadata is complete, so that requests could be served. */
    public boolean isComplete() {
        return fleet.isComplete();
    }
}
