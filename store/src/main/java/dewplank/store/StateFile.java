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
    private static final int MOST_PAGE_BYTES = 4096;
    private static final long NO_VALUE = 0;
    private static final String HEADS = "heads";
    private static final String IDENTITY = "identity";

    private final StoreFile file;
    private final MVStore store;
    private final MVMap<String, byte[]> heads;
    private final MVMap<String, String> names;
    private final MVMap<Long, byte[]> values;
    private final MVMap<String, Long> numbers;
    private long lastKey;
    private RegisterValue keptValue;
    private long keptValueKey = NO_VALUE;
    private RegisterValue keptChosen;
    private long keptChosenKey = NO_VALUE;

    /** Opens the file, or creates it empty. */
    StateFile(StoreFiles files, Path path) throws IOException {
        file = files.open(path);
        MVStore opened = null;
        try {
            opened = open(file);
            store = opened;
            heads = store.openMap("heads");
            names = store.openMap("names");
            values = store.openMap("values");
            numbers = store.openMap("numbers");
        } catch (MVStoreException | IllegalArgumentException failure) {
            closeQuietly(opened, file);
            throw new IOException("not a readable store: " + path.getFileName(), failure);
        }
    }

    /** The state kept; fails when there is none, for a file is only given its name with a state in it. */
    DurableState read() throws IOException {
        try {
            String identity = names.get(IDENTITY);
            byte[] bytes = heads.get(HEADS);
            if (identity == null || bytes == null) {
                throw new IOException("the store holds no state");
            }
            StateCodec.Heads kept = StateCodec.decodeHeads(bytes);
            keptValueKey = kept.valueKey();
            keptChosenKey = kept.chosenKey();
            keptValue = valueAt(keptValueKey);
            keptChosen = keptChosenKey == keptValueKey ? keptValue : valueAt(keptChosenKey);
            lastKey = values.isEmpty() ? NO_VALUE : values.lastKey();
            return new DurableState(
                    identity, kept.promised(), kept.accepted(), keptValue, kept.chosenBallot(), keptChosen);
        } catch (MVStoreException | IllegalStateException failure) {
            throw new IOException("the store cannot be read", failure);
        }
    }

    Map<String, Long> readNumbers() {
        return new HashMap<>(numbers);
    }

    /** Writes and syncs; a value already kept is not written again. */
    void write(DurableState state, Map<String, Long> newNumbers) throws IOException {
        try {
            names.putIfAbsent(IDENTITY, state.identity());
            long valueKey = keyOf(state.value());
            long chosenKey =
                    state.chosen() != null && state.chosen().equals(state.value()) ? valueKey : keyOf(state.chosen());
            StateCodec.Heads next =
                    new StateCodec.Heads(state.promised(), state.accepted(), valueKey, state.chosenBallot(), chosenKey);
            heads.put(HEADS, StateCodec.encode(next));
            numbers.putAll(newNumbers);
            keep(state, valueKey, chosenKey);
            dropOthers(valueKey, chosenKey);
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

    long length() throws IOException {
        return file.size();
    }

    /** Lets go of the file at once; everything that counts is synced. */
    void close() {
        closeQuietly(store, file);
    }

    private static MVStore open(StoreFile file) {
        MVStore opened = new MVStore.Builder()
                .fileName(LayeredPath.nameOf(file))
                .autoCommitDisabled()
                .autoCompactFillRate(0)
                .cacheSize(CACHE_MB)
                .pageSplitSize(MOST_PAGE_BYTES)
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

    private long keyOf(RegisterValue value) throws IOException {
        if (value == null) {
            return NO_VALUE;
        }
        if (value.equals(keptValue)) {
            return keptValueKey;
        }
        if (value.equals(keptChosen)) {
            return keptChosenKey;
        }
        lastKey++;
        values.put(lastKey, StateCodec.encode(value));
        return lastKey;
    }

    private void dropOthers(long valueKey, long chosenKey) {
        for (Long key : new ArrayList<>(values.keySet())) {
            if (key != valueKey && key != chosenKey) {
                values.remove(key);
            }
        }
    }

    private void keep(DurableState state, long valueKey, long chosenKey) {
        keptValue = state.value();
        keptValueKey = valueKey;
        keptChosen = state.chosen();
        keptChosenKey = chosenKey;
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
