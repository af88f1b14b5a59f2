package dewplank.controlplane;

import dewplank.message.MessageCodec;
import dewplank.register.AcceptorId;
import dewplank.settings.NodeSettings;
import dewplank.store.StoreException;
import java.util.List;
import java.util.Optional;

/**
 * The bootstrap of the fleet: at its first start the seeds of the settings are the first acceptors, each with an
 * identity that follows from its address, or that {@link FounderTracker} learns where it has no disk. Called while a
 * process is created, before its loop runs.
 */
final class Bootstrap {
    /** Begins the names of processes whose disk could not be used when they started. */
    private static final String NON_VOTER_PREFIX = "non-voter@";

    private Bootstrap() {}

    /**
     * The storage of a process.
     *
     * @param storage the disk, or the memory where there is none or it failed
     * @param diskFailure why the disk could not be used; empty where it is used, or there is none
     */
    record OpenedStorage(Storage storage, Optional<StoreException> diskFailure) {}

    /** Opens the storage of this process: its disk, or its memory where it has none or the disk can't be used. */
    static OpenedStorage storage(
            NodeSettings settings, ControlEnvironment environment, MessageCodec codec, String address) {
        if (settings.dataDirectory() == null) {
            return new OpenedStorage(inMemory(bootstrapIdentity(address), settings, environment), Optional.empty());
        }
        try {
            return new OpenedStorage(onDisk(settings, environment, codec, address), Optional.empty());
        } catch (StoreException failure) {
            // Not a founder's identity: the vote of this process is its disk's, which may have been given before.
            Storage withoutVote = inMemory(NON_VOTER_PREFIX + address, settings, environment);
            return new OpenedStorage(withoutVote, Optional.of(failure));
        }
    }

    /**
     * Opens the disk of this process, or creates its files.
     *
     * @throws StoreException if the disk can't be used
     */
    static DiskStorage onDisk(NodeSettings settings, ControlEnvironment environment, MessageCodec codec, String address)
            throws StoreException {
        String identityIfNew = settings.initialStart() ? bootstrapIdentity(address) : environment.newIdentity();
        return new DiskStorage(
                settings, identityIfNew, seeds(settings), environment.files(), environment.disk(), codec);
    }

    private static Storage inMemory(String name, NodeSettings settings, ControlEnvironment environment) {
        String identity = AcceptorId.volatileIdentity(name, environment.newIdentity());
        FleetBootstrap bootstrap = new FleetBootstrap(seeds(settings), true); // no vote under this identity yet
        return new MemoryStorage(environment.scheduler(), identity, bootstrap);
    }

    /** Whether an identity without a disk is a founder's; other processes in memory never vote. */
    static boolean isVolatileFounder(AcceptorId acceptor) {
        String founder = AcceptorId.volatileIdentity(bootstrapIdentity(acceptor.address()), "");
        return acceptor.identity().startsWith(founder);
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
