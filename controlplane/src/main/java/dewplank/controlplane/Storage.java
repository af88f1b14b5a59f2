package dewplank.controlplane;

import dewplank.message.EndpointList;
import dewplank.register.DurableState;
import dewplank.store.DiskResult;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * What a control plane stores: its acceptor's state, the fencing tokens that it has voted for, the last endpoint list.
 *
 * <p>Called on the loop's thread only; writes are done apart from it, and their results arrive on it in a later task.
 */
interface Storage extends ConfigurationStore.Disk, FounderTracker.Store {
    /** Whether what is saved outlasts the process, so that it may vote. */
    boolean isDurable();

    /** The acceptor's state as it was when this process started. */
    DurableState recovered();

    /** The acceptor's identity. */
    default String identity() {
        return recovered().identity();
    }

    /** The bootstrap of the fleet. */
    FleetBootstrap bootstrap();

    /** {@link FleetBootstrap#founders}. */
    default List<String> founders() {
        return bootstrap().founders();
    }

    /** {@link FleetBootstrap#firstStart}. */
    default boolean firstStart() {
        return bootstrap().firstStart();
    }

    /** The highest fencing token voted for, by role, as it was when this process started. */
    Map<String, Long> fencingTokens();

    /**
     * Saves the highest fencing token voted for.
     *
     * @param done receives whether the token is on the disk, in a later task of the loop
     */
    void saveFencingToken(String role, long token, Consumer<DiskResult> done);

    /** The endpoint list as it was last saved; empty where there is none, or none that can be read. */
    Optional<EndpointList> savedList();

    /** Saves the newest endpoint list, for a quicker start; a failure only costs that. */
    void saveList(EndpointList list);

    /** Stops writing; writes that are still queued are dropped. */
    void close();
}
