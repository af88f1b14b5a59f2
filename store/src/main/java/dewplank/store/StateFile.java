package dewplank.store;

import dewplank.register.DurableState;
import dewplank.register.RegisterValue;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/**
 * One MVStore file with one acceptor's state: its identity, its header, the values that the header refers to, and
 * fencing tokens.
 *
 * <p>Space is never reused, so that a torn write cannot damage data that was synced before. The file thus only grows;
 * {@link AcceptorStore} rewrites it when it is too large. Not thread-safe. MVStore reports errors as runtime
 * exceptions. This class rethrows them as an {@link IOException}, after which the file must not be written again.
 */
final class StateFile {
    private static final int CACHE_MB = 1;
    private static final int MAX_PAGE_BYTES = 4096;
    /** The key that a header contains instead of the key of a value if there is no value. */
    private static final long NO_VALUE = 0;

    // Names of maps and keys in the file, which earlier releases use too.
    private static final String HEADERS_MAP = "heads";
    private static final String HEADER_KEY = "heads";
    private static final String METADATA_MAP = "names";
    private static final String IDENTITY_KEY = "identity";
    private static final String VALUES_MAP = "values";
    private static final String FENCING_TOKENS_MAP = "numbers";

    private final StoreFile file;
    private final MVStore store;
    private final MVMap<String, byte[]> headers;
    private final MVMap<String, String> metadata;
    private final MVMap<Long, byte[]> values;
    private final MVMap<String, Long> fencingTokens;
    private long lastKey;

    // The values of the last header that was read or written, with their keys, so that equal values are not rewritten.
    private RegisterValue storedValue;
    private long storedValueKey = NO_VALUE;
    private RegisterValue storedChosen;
    private long storedChosenKey = NO_VALUE;

    /**
     * Opens the file, or creates an empty one.
     *
     * @throws IOException if the file is damaged or not an MVStore; the file is then closed
     */
    StateFile(StoreFiles files, Path path) throws IOException {
        file = files.open(path);
        MVStore opened = null;
        try {
            opened = open(file);
            store = opened;
            headers = store.openMap(HEADERS_MAP);
            metadata = store.openMap(METADATA_MAP);
            values = store.openMap(VALUES_MAP);
            fencingTokens = store.openMap(FENCING_TOKENS_MAP);
        } catch (MVStoreException | IllegalArgumentException failure) {
            closeQuietly(opened, file);
            throw new IOException("not a readable store: " + path.getFileName(), failure);
        }
    }

    /**
     * Reads the state.
     *
     * @throws IOException if the state is damaged or absent; a file gets its final name only once it contains a state
     */
    DurableState read() throws IOException {
        try {
            String identity = metadata.get(IDENTITY_KEY);
            byte[] bytes = headers.get(HEADER_KEY);
            if (identity == null || bytes == null) {
                throw new IOException("the store contains no state");
            }
            StateCodec.StateHeader header = StateCodec.decodeHeader(bytes);
            storedValueKey = header.valueKey();
            storedChosenKey = header.chosenKey();
            storedValue = valueAt(storedValueKey);
            storedChosen = storedChosenKey == storedValueKey ? storedValue : valueAt(storedChosenKey);
            lastKey = values.isEmpty() ? NO_VALUE : values.lastKey();
            return new DurableState(
                    identity, header.promised(), header.accepted(), storedValue, header.chosenBallot(), storedChosen);
        } catch (MVStoreException | IllegalStateException failure) {
            throw new IOException("the store cannot be read", failure);
        }
    }

    Map<String, Long> readFencingTokens() {
        return new HashMap<>(fencingTokens);
    }

    /** Writes and syncs a state and fencing tokens. A value that is already stored is not written again. */
    void write(DurableState state, Map<String, Long> newTokens) throws IOException {
        try {
            metadata.putIfAbsent(IDENTITY_KEY, state.identity());
            long valueKey = keyFor(state.acceptedValue());
            long chosenKey = state.chosenValue() != null && state.chosenValue().equals(state.acceptedValue())
                    ? valueKey
                    : keyFor(state.chosenValue());
            StateCodec.StateHeader next = new StateCodec.StateHeader(
                    state.promisedBallot(), state.acceptedBallot(), valueKey, state.chosenBallot(), chosenKey);
            headers.put(HEADER_KEY, StateCodec.encode(next));
            fencingTokens.putAll(newTokens);
            cacheWritten(state, valueKey, chosenKey);
            removeUnreferencedValues(valueKey, chosenKey);
            store.commit();
            store.sync();
        } catch (MVStoreException | IllegalStateException failure) {
            throw new IOException("the store cannot be written", failure);
        }
    }

    /** Syncs the data of earlier writes that the operating system still caches. */
    void sync() throws IOException {
        file.sync();
    }

    long sizeBytes() throws IOException {
        return file.size();
    }

    /** Closes the file without writing; all acknowledged writes are synced. */
    void close() {
        closeQuietly(store, file);
    }

    private static MVStore open(StoreFile file) {
        MVStore opened = new MVStore.Builder()
                .fileName(StoreFilePath.register(file))
                .autoCommitDisabled()
                .autoCompactFillRate(0)
                .cacheSize(CACHE_MB)
                .pageSplitSize(MAX_PAGE_BYTES)
                .open();
        opened.setReuseSpace(false);
        opened.setVersionsToKeep(0);
        return opened;
    }

    private RegisterValue valueAt(long key) throws IOException {
        if (key == NO_VALUE) {
            return null;
        }
        byte[] bytes = values.get(key);
        if (bytes == null) {
            throw new IOException("the store does not contain value " + key);
        }
        return StateCodec.decodeValue(bytes);
    }

    private long keyFor(RegisterValue value) throws IOException {
        if (value == null) {
            return NO_VALUE;
        }
        if (value.equals(storedValue)) {
            return storedValueKey;
        }
        if (value.equals(storedChosen)) {
            return storedChosenKey;
        }
        lastKey++;
        values.put(lastKey, StateCodec.encode(value));
        return lastKey;
    }

    private void removeUnreferencedValues(long valueKey, long chosenKey) {
        for (Long key : new ArrayList<>(values.keySet())) {
            if (key != valueKey && key != chosenKey) {
                values.remove(key);
            }
        }
    }

    private void cacheWritten(DurableState state, long valueKey, long chosenKey) {
        storedValue = state.acceptedValue();
        storedValueKey = valueKey;
        storedChosen = state.chosenValue();
        storedChosenKey = chosenKey;
    }

    private static void closeQuietly(MVStore store, StoreFile file) {
        try {
            if (store != null) {
                store.closeImmediately();
            }
            file.close();
        } catch (MVStoreException | IOException failure) {
            // No data is lost, since all acknowledged writes are synced.
        }
    }
}
