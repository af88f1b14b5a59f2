package dewplank.controlplane;

import dewplank.message.CorruptFrameException;
import dewplank.message.EndpointList;
import dewplank.message.MessageCodec;
import dewplank.register.DurableState;
import dewplank.settings.NodeSettings;
import dewplank.store.AcceptorStore;
import dewplank.store.BootstrapSeeds;
import dewplank.store.ChecksummedFile;
import dewplank.store.DiskExecutor;
import dewplank.store.DiskResult;
import dewplank.store.FounderIdentities;
import dewplank.store.StoreException;
import dewplank.store.StoreFiles;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The storage of a process with a disk: files in its data directory, written by the disk executor. */
final class DiskStorage implements Storage {
    private static final Logger LOG = LoggerFactory.getLogger(DiskStorage.class);
    private static final String LOCK_FILE = "lock";

    private final Closeable lock;
    private final AcceptorStore store;
    private final DiskExecutor executor;
    private final ChecksummedFile serverList;
    private final MessageCodec codec;
    private final FleetBootstrap bootstrap;
    private final FounderIdentities founderIdentities;
    private final FounderIdentities.StoredIdentities loadedFounderIdentities;
    private EndpointList pendingList;
    private boolean listSavePending;

    /**
     * Opens the files, or creates them.
     *
     * @param identityIfNew the identity that the disk gets if it is empty
     * @param seeds addresses of the initial acceptors in the current settings; stored at the first start, and ignored
     *     afterwards
     * @throws StoreException if the directory or a file in it can't be used
     */
    DiskStorage(
            NodeSettings settings,
            String identityIfNew,
            List<String> seeds,
            StoreFiles files,
            DiskExecutor executor,
            MessageCodec codec)
            throws StoreException {
        this.executor = executor;
        this.codec = codec;
        lock = lock(files, settings.dataDirectory());
        List<String> founders;
        try {
            founders = new BootstrapSeeds(files, settings.dataDirectory()).loadOrStore(seeds, settings.initialStart());
            store = AcceptorStore.open(
                    settings.dataDirectory(), files, settings.resources().diskBytes(), identityIfNew);
        } catch (StoreException | RuntimeException e) {
            release(lock);
            throw e;
        }
        bootstrap = new FleetBootstrap(founders, settings.initialStart() && store.isNew());
        founderIdentities = new FounderIdentities(files, settings.dataDirectory());
        loadedFounderIdentities = founderIdentities.load();
        serverList = new ChecksummedFile(files, settings.dataDirectory(), "servers");
    }

    /** Keeps a second process off the directory, which would vote with the same identity. */
    private static Closeable lock(StoreFiles files, Path directory) throws StoreException {
        try {
            return files.lock(directory.resolve(LOCK_FILE));
        } catch (IOException e) {
            throw new StoreException("cannot lock " + directory, e);
        }
    }

    @Override
    public boolean isDurable() {
        return true;
    }

    @Override
    public DurableState recovered() {
        return store.recovered();
    }

    @Override
    public FleetBootstrap bootstrap() {
        return bootstrap;
    }

    @Override
    public Map<String, Long> fencingTokens() {
        return store.fencingTokens();
    }

    @Override
    public void save(DurableState state, Consumer<DiskResult> done) {
        executor.submit(() -> store.save(state), done);
    }

    @Override
    public void saveFencingToken(String role, long token, Consumer<DiskResult> done) {
        executor.submit(() -> store.saveFencingToken(role, token), done);
    }

    @Override
    public FounderIdentities.StoredIdentities founderIdentities() {
        return loadedFounderIdentities;
    }

    @Override
    public void saveFounderIdentities(FounderIdentities.StoredIdentities record, Consumer<DiskResult> done) {
        executor.submit(() -> founderIdentities.store(record), done);
    }

    @Override
    public Optional<EndpointList> savedList() {
        return serverList.read().flatMap(this::decode);
    }

    private Optional<EndpointList> decode(byte[] frame) {
        try {
            return codec.newDecoder().decode(ByteBuffer.wrap(frame)) instanceof EndpointList list
                    ? Optional.of(list)
                    : Optional.empty();
        } catch (CorruptFrameException e) {
            return Optional.empty();
        }
    }

    @Override
    public void saveList(EndpointList list) {
        pendingList = list;
        saveNext();
    }

    private void saveNext() {
        if (listSavePending || pendingList == null) {
            return;
        }
        listSavePending = true;
        byte[] frame = codec.encode(pendingList).array();
        pendingList = null;
        executor.submit(() -> serverList.replace(frame), result -> {
            listSavePending = false;
            saveNext();
        });
    }

    @Override
    public void close() {
        executor.close();
    }

    @Override
    public void closeFiles() {
        executor.close();
        releaseFiles();
    }

    /** Closes the files as {@link #closeFiles} does, for a caller that goes on with the disk executor. */
    void releaseFiles() {
        store.close();
        release(lock);
    }

    private static void release(Closeable lock) {
        try {
            lock.close();
        } catch (IOException e) {
            LOG.warn("lock not released cause={}", e.toString());
        }
    }
}
