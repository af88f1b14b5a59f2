package dewplank.controlplane;

import dewplank.message.MessageCodec;
import dewplank.register.AcceptorId;
import dewplank.settings.NodeSettings;
import dewplank.store.StoreException;
import java.util.List;

/**
 * The bootstrap of the fleet: at its first start the seeds of the settings are the first acceptors, each with an
 * identity that follows from its address, or that {@link FounderTracker} learns where it has no disk. Called while a
 * process is created, before its loop runs.
 */
final class Bootstrap {
    private Bootstrap() {}

    /**
     * Opens the storage of this process: its disk, or its memory where it has none.
     *
     * @throws StoreException if the disk can't be used
     */
    static Storage storage(NodeSettings settings, ControlEnvironment environment, MessageCodec codec, String address)
            throws StoreException {
        if (settings.dataDirectory() == null) {
            String identity = AcceptorId.volatileIdentity(bootstrapIdentity(address), environment.newIdentity());
            FleetBootstrap bootstrap = new FleetBootstrap(seeds(settings), true); // no vote under this identity yet
            return new MemoryStorage(environment.scheduler(), identity, bootstrap);
        }
        String identityIfNew = settings.initialStart() ? bootstrapIdentity(address) : environment.newIdentity();
        return new DiskStorage(
                settings, identityIfNew, seeds(settings), environment.files(), environment.disk(), codec);
    }

    /**
     * The first set of acceptors as if all had a disk, for a process that has one and that took part in the bootstrap;
     * empty for others, which receive the set.
     */
    static List<AcceptorId> initialAcceptors(Storage storage, String address) {
        return storage.identity().equals(bootstrapIdentity(address))
                ? storage.founders().stream()
                        .map(a -> new AcceptorId(a, bootstrapIdentity(a)))
                        .toList()
                : List.of();
    }

    /** Addresses of the seeds on the links between control planes, as IP:PORT. */
    static List<String> seeds(NodeSettings settings) {
        return settings.seeds().stream()
                .map(s -> s.getAddress().getHostAddress() + ":" + settings.internalPorts()[0])
                .toList();
    }

    /** The identity of a disk that was empty when the fleet started for the first time. */
    private static String bootstrapIdentity(String address) {
        return "founder@" + address;
    }
}
