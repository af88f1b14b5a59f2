package dewplank.controlplane;

import dewplank.message.EndpointList;
import dewplank.net.Scheduler;
import dewplank.register.DurableState;
import dewplank.store.DiskResult;
import dewplank.store.FounderIdentities;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The storage of a process without a disk, which is lost when the process terminates. Such a process is an acceptor
 * only during the bootstrap of the fleet, if its address is among the seeds, until a process with a disk replaces it.
 * Its identity is volatile: it differs in each incarnation.
 */
final class MemoryStorage implements Storage {
    private final Scheduler loop;
    private final DurableState initialState;
    private final FleetBootstrap bootstrap;

    MemoryStorage(Scheduler loop, String identity, FleetBootstrap bootstrap) {
        this.loop = loop;
        this.initialState = DurableState.fresh(identity);
        this.bootstrap = bootstrap;
    }

    @Override
    public boolean isDurable() {
        return false;
    }

    @Override
    public DurableState recovered() {
        return initialState;
    }

    @Override
    public FleetBootstrap bootstrap() {
        return bootstrap;
    }

    @Override
    public Map<String, Long> fencingTokens() {
        return Map.of();
    }

    @Override
    public void save(DurableState state, Consumer<DiskResult> done) {
        loop.execute(() -> done.accept(DiskResult.Succeeded.INSTANCE));
    }

    @Override
    public void saveFencingToken(String role, long token, Consumer<DiskResult> done) {
        loop.execute(() -> done.accept(DiskResult.Succeeded.INSTANCE));
    }

    @Override
    public FounderIdentities.StoredIdentities founderIdentities() {
        return FounderIdentities.StoredIdentities.NONE;
    }

    @Override
    public void saveFounderIdentities(FounderIdentities.StoredIdentities record, Consumer<DiskResult> done) {
        loop.execute(() -> done.accept(DiskResult.Succeeded.INSTANCE));
    }

    @Override
    public Optional<EndpointList> savedList() {
        return Optional.empty();
    }

    @Override
    public void saveList(EndpointList list) {} // nothing outlives the process

    @Override
    public void closeFiles() {}

    @Override
    public void close() {}
}
