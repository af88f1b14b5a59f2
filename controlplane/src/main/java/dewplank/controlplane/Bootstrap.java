package dewplank.controlplane;

import dewplank.message.MessageCodec;
import dewplank.register.AcceptorId;
import dewplank.settings.NodeSettings;
import dewplank.store.StoreException;
import java.util.List;
import java.util.Optional;

/**
 * Opens the storage of a process and determines the initial acceptors of the fleet, called founders. The founders are
 * the seeds in the settings at the first start of the fleet. A founder with a disk has an identity that is derived from
 * its address; {@link FounderTracker} determines the identities of founders without a disk. Called while a process is
 * created, before its event loop runs.
 */
final class Bootstrap {
    /** Name prefix in the identity of a process whose disk could not be used when it started. */
    private static final String NON_VOTER_PREFIX = "non-voter@";

    private Bootstrap() {}

    /**
     * The storage of a process.
     *
     * @param storage the storage on disk, or in memory if there is no disk or it failed
     * @param diskFailure why the disk could not be used; empty if it is in use or there is none
     */
    record OpenedStorage(Storage storage, Optional<StoreException> diskFailure) {}

    /** Opens the storage of this process: on disk, or in memory if it has no disk or the disk can't be used. */
    static OpenedStorage openStorage(
            NodeSettings settings, ControlEnvironment environment, MessageCodec codec, String address) {
        if (settings.dataDirectory() == null) {
            return new OpenedStorage(
                    newMemoryStorage(bootstrapIdentity(address), settings, environment), Optional.empty());
        }
        try {
            return new OpenedStorage(openDiskStorage(settings, environment, codec, address), Optional.empty());
        } catch (StoreException failure) {
            // Uses another identity than the one on the disk, under which this process may already have voted.
            Storage withoutVote = newMemoryStorage(NON_VOTER_PREFIX + address, settings, environment);
            return new OpenedStorage(withoutVote, Optional.of(failure));
        }
    }

    /**
     * Opens the files on the disk of this process, or creates them.
     *
     * @throws StoreException if the disk can't be used
     */
    static DiskStorage openDiskStorage(
            NodeSettings settings, ControlEnvironment environment, MessageCodec codec, String address)
            throws StoreException {
        environment.prepareDataDirectory();
        String identityIfNew = settings.initialStart() ? bootstrapIdentity(address) : environment.newIdentity();
        return new DiskStorage(
                settings, identityIfNew, seeds(settings), environment.files(), environment.disk(), codec);
    }

    private static Storage newMemoryStorage(String name, NodeSettings settings, ControlEnvironment environment) {
        String identity = AcceptorId.volatileIdentity(name, environment.newIdentity());
        FleetBootstrap bootstrap = new FleetBootstrap(seeds(settings), true); // a new identity has never voted
        return new MemoryStorage(environment.scheduler(), identity, bootstrap);
    }

    /** Whether the acceptor is a founder without a disk. Other processes without a disk never vote. */
    static boolean isVolatileFounder(AcceptorId acceptor) {
        String founder = AcceptorId.volatileIdentity(bootstrapIdentity(acceptor.address()), "");
        return acceptor.identity().startsWith(founder);
    }

    /**
     * The initial acceptors, on the assumption that all founders have a disk. Empty for a process that has no disk or
     * did not take part in the bootstrap: it receives the set from other processes.
     */
    static List<AcceptorId> initialAcceptors(Storage storage, String address) {
        return storage.identity().equals(bootstrapIdentity(address))
                ? storage.founders().stream()
                        .map(a -> new AcceptorId(a, bootstrapIdentity(a)))
                        .toList()
                : List.of();
    }

    /** Addresses at which the seeds accept links from other control planes, as IP:PORT. */
    static List<String> seeds(NodeSettings settings) {
        return settings.seeds().stream()
                .map(s -> s.getAddress().getHostAddress() + ":" + settings.internalPorts()[0])
                .toList();
    }

    /** The identity that a disk gets if it is empty when the fleet starts for the first time. */
    private static String bootstrapIdentity(String address) {
        return "founder@" + address;
    }
}
