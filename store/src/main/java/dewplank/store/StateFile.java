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
 * One MVStore file with a state in it. Its space is never used again, so that a torn write cannot harm what was synced
 * before; whoever holds it begins a new file when this one is too long.
 */
final class StateFile {
    private static final int CACHE_MB = 1;
    private static final int MAX_PAGE_BYTES = 4096;
    private static final long NO_VALUE = 0;
    private static final String HEADER_KEY = "heads";
    private static final String IDENTITY_KEY = "identity";

    private final StoreFile file;
    private final MVStore store;
    private final MVMap<String, byte[]> headers;
    private final MVMap<String, String> names;
    private final MVMap<Long, byte[]> values;
    private final MVMap<String, Long> fencingTokens;
    private long lastKey;
    private RegisterValue storedValue;
    private long storedValueKey = NO_VALUE;
    private RegisterValue storedChosen;
    private long storedChosenKey = NO_VALUE;

    /** Opens the file, or creates it empty. */
    StateFile(StoreFiles files, Path path) throws IOException {
        file = files.open(path);
        MVStore opened = null;
        try {
            opened = open(file);
            store = opened;
            headers = store.openMap("heads");
            names = store.openMap("names");
            values = store.openMap("values");
            fencingTokens = store.openMap("numbers");
        } catch (MVStoreException | IllegalArgumentException failure) {
            closeQuietly(opened, file);
            throw new IOException("not a readable store: " + path.getFileName(), failure);
        }
    }

    /** The state kept; fails when there is none, for a file is only given its name with a state in it. */
    DurableState read() throws IOException {
        try {
            String identity = names.get(IDENTITY_KEY);
            byte[] bytes = headers.get(HEADER_KEY);
            if (identity == null || bytes == null) {
                throw new IOException("the store holds no state");
            }
            StateCodec.StateHeader kept = StateCodec.decodeHeader(bytes);
            storedValueKey = kept.valueKey();
            storedChosenKey = kept.chosenKey();
            storedValue = valueAt(storedValueKey);
            storedChosen = storedChosenKey == storedValueKey ? storedValue : valueAt(storedChosenKey);
            lastKey = values.isEmpty() ? NO_VALUE : values.lastKey();
            return new DurableState(
                    identity, kept.promised(), kept.accepted(), storedValue, kept.chosenBallot(), storedChosen);
        } catch (MVStoreException | IllegalStateException failure) {
            throw new IOException("the store cannot be read", failure);
        }
    }

    Map<String, Long> readFencingTokens() {
        return new HashMap<>(fencingTokens);
    }

    /** Writes and syncs; a value already kept is not written again. */
    void write(DurableState state, Map<String, Long> newNumbers) throws IOException {
        try {
            names.putIfAbsent(IDENTITY_KEY, state.identity());
            long valueKey = keyFor(state.acceptedValue());
            long chosenKey = state.chosenValue() != null && state.chosenValue().equals(state.acceptedValue())
                    ? valueKey
                    : keyFor(state.chosenValue());
            StateCodec.StateHeader next = new StateCodec.StateHeader(
                    state.promisedBallot(), state.acceptedBallot(), valueKey, state.chosenBallot(), chosenKey);
            headers.put(HEADER_KEY, StateCodec.encode(next));
            fencingTokens.putAll(newNumbers);
            cacheWritten(state, valueKey, chosenKey);
            removeUnreferencedValues(valueKey, chosenKey);
            store.commit();
            store.sync();
        } catch (MVStoreException | IllegalStateException failure) {
            throw new IOException("the store cannot be written", failure);
        }
    }

    /** Makes last what was found in the file. */
    void sync() throws IOException {
        file.sync();
    }

    long sizeBytes() throws IOException {
        return file.size();
    }

    /** Lets go of the file at once; everything that counts is synced. */
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
            throw new IOException("the store lacks value " + key);
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
            // Nothing that counts is lost: what was to last is synced.
        }
    }
}
