package dewplank.controlplane;

import dewplank.message.EndpointList;
import dewplank.register.DurableState;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** What a process keeps: the acceptor's state, fencing numbers, the list of servers. */
interface Storage extends ConfigurationStore.Disk {
    DurableState recovered();

    /** The acceptor's identity. */
    default String identity() {
        return recovered().identity();
    }

    /** SocketAddresses of the acceptors that the fleet began with. */
    List<String> founders();

    /** Whether the whole system starts for the first time: nothing can have been promised before. */
    boolean firstStart();

    Map<String, Long> fencingTokens();

    /** Keeps the highest fencing number of a duty; says on the loop whether that worked. */
    void saveFencingToken(String role, long token, Consumer<Boolean> done);

    /** The list of servers as it was when last saved; empty where there is none. */
    Optional<EndpointList> savedList();

    /** Saves the newest list, for a quicker start; a failure only costs that. */
    void saveList(EndpointList list);

    void close();
}
