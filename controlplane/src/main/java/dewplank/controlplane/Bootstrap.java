package dewplank.controlplane;

import dewplank.message.MessageCodec;
import dewplank.register.AcceptorId;
import dewplank.settings.NodeSettings;
import dewplank.store.StoreException;
import java.util.List;

/** How the first set of acceptors comes about: when nothing is known but the seeds, these are it. */
final class Bootstrap {
    private Bootstrap() {}

    /** The disk of this process, or its memory where it has none. */
    static Storage storage(NodeSettings settings, ControlEnvironment environment, MessageCodec codec, String address)
            throws StoreException {
        String identityIfNew = settings.initialStart() ? founder(address) : environment.newIdentity();
        if (settings.dataDirectory() == null) {
            return new MemoryStorage(environment.scheduler(), identityIfNew, seeds(settings), settings.initialStart());
        }
        return new DiskStorage(
                settings, identityIfNew, seeds(settings), environment.files(), environment.disk(), codec);
    }

    /** The acceptors at the very first start, for a process that was there; others learn of them. */
    static List<AcceptorId> initialAcceptors(Storage storage, String address) {
        return storage.identity().equals(founder(address))
                ? storage.founders().stream()
                        .map(a -> new AcceptorId(a, founder(a)))
                        .toList()
                : List.of();
    }

    /** Where the settings' seeds listen to other control sidecars. */
    static List<String> seeds(NodeSettings settings) {
        return settings.seeds().stream()
                .map(s -> s.getAddress().getHostAddress() + ":" + settings.internalPorts()[0])
                .toList();
    }

    /** The identity of a disk that was empty when the whole system started for the first time. */
    private static String founder(String address) {
        return "founder@" + address;
    }
}
