package dewplank.controlplane;

import dewplank.message.EndpointList;
import dewplank.register.DurableState;
import dewplank.store.DiskResult;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The stored state of a control plane: the state of its acceptor, the fencing tokens that it has voted for, and the
 * last endpoint list.
 *
 * <p>Must be used on the loop's thread only. Writes are asynchronous: their results arrive in a later task of the loop.
 */
interface Storage extends ConfigurationStore.Disk, FounderTracker.Store {
    /** Whether saved state is preserved when the process ends, so that the process may vote. */
    boolean isDurable();

    /** The state of the acceptor when this process started. */
    DurableState recovered();

    /** The identity of the acceptor. */
    default String identity() {
        return recovered().identity();
    }

    /** The recorded bootstrap of the fleet. */
    FleetBootstrap bootstrap();

    /** Addresses of the acceptors with which the fleet was bootstrapped, as IP:PORT. */
    default List<String> founders() {
        return bootstrap().founders();
    }

    /** Whether no vote or promise of this process can exist yet, see {@link FleetBootstrap#firstStart}. */
    default boolean firstStart() {
        return bootstrap().firstStart();
    }

    /** The highest fencing token voted for when this process started, by role. */
    Map<String, Long> fencingTokens();

    /**
     * Saves the highest fencing token voted for in a role.
     *
     * @param done receives the result of the write, in a later task of the loop
     */
    void saveFencingToken(String role, long token, Consumer<DiskResult> done);

    /** The endpoint list that was saved last; empty if there is none or it can't be read. */
    Optional<EndpointList> savedList();

    /** Saves the newest endpoint list to speed up the next start. A failure has no other effect than a slower start. */
    void saveList(EndpointList list);

    /** Stops writing; queued writes are dropped. */
    void close();

    /** Closes the files, and leaves their contents. No write may be in progress. */
    void closeFiles();
}
