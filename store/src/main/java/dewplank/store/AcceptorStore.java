package dewplank.store;

import dewplank.register.DurableState;
import java.io.IOException;
import java.math.BigInteger;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.Map;

/**
 * The durable state of an acceptor and of the lease voter in the same process, in one MVStore file.
 *
 * <p>The file only grows. When it is too large, or a write has failed, the whole state is written to a new file, which
 * is then renamed over the old one; until then the old file is unchanged. So after a power loss at any time the store
 * contains the last saved state or the one that was being saved.
 *
 * <p>Opening and saving block on syncs. Only one thread at a time may save; in a running process this is the disk
 * thread. {@link #fencingTokens()} may be called by any thread.
 */
public final class AcceptorStore implements AutoCloseable {
    private static final String FILE_NAME = "acceptor.mv";
    private static final String NEXT_FILE_NAME = "acceptor.mv.next";

    /**
     * The maximum file size is at most the disk quota divided by this. Two files exist during a rewrite, and other
     * files need disk space too.
     */
    private static final int QUOTA_DIVISOR = 4;

    /**
     * The maximum file size, unless the disk quota requires a lower one. Larger files would only waste disk space,
     * since a rewrite writes a few hundred kilobytes at most.
     */
    private static final long MAX_FILE_BYTES = 8L << 20;

    private static final int IDENTITY_BITS = 80;
    private static final int IDENTITY_RADIX = 36;

    private final Path directory;
    private final StoreFiles files;
    private final long maxFileBytes;
    private StateFile current;
    private DurableState state;
    private Map<String, Long> fencingTokens = new HashMap<>();
    private boolean isNew;
    private boolean needsRewrite;

    private AcceptorStore(Path directory, StoreFiles files, long diskQuotaBytes) {
        this.directory = directory;
        this.files = files;
        this.maxFileBytes = Math.min(MAX_FILE_BYTES, diskQuotaBytes / QUOTA_DIVISOR);
    }

    /**
     * Opens the store in this directory. If there is none, creates one with a random identity.
     *
     * @param diskQuotaBytes the disk space that the process may use
     * @throws StoreException if the store cannot be read or created; an existing file is not deleted
     */
    public static AcceptorStore open(Path directory, StoreFiles files, long diskQuotaBytes) throws StoreException {
        return open(directory, files, diskQuotaBytes, randomIdentity());
    }

    /**
     * Opens the store in this directory. The state that it reads or creates is synced before this method returns.
     *
     * @param diskQuotaBytes the disk space that the process may use
     * @param identityIfNew the identity to use if the directory has no store
     * @throws StoreException if the store cannot be read or created; an existing file is not deleted
     */
    public static AcceptorStore open(Path directory, StoreFiles files, long diskQuotaBytes, String identityIfNew)
            throws StoreException {
        AcceptorStore store = new AcceptorStore(directory, files, diskQuotaBytes);
        try {
            files.delete(directory.resolve(NEXT_FILE_NAME));
            if (files.exists(directory.resolve(FILE_NAME))) {
                store.recover();
            } else {
                store.create(identityIfNew);
            }
        } catch (IOException failure) {
            store.close();
            throw new StoreException("cannot open the acceptor's store in " + directory, failure);
        }
        return store;
    }

    /** Generates a random identity for a new disk. */
    public static String randomIdentity() {
        return new BigInteger(IDENTITY_BITS, new SecureRandom()).toString(IDENTITY_RADIX);
    }

    /** Returns the last saved state, or the one recovered when the store was opened. */
    public DurableState recovered() {
        return state;
    }

    /** Whether this store was created when it was opened, so that its identity has never voted. */
    public boolean isNew() {
        return isNew;
    }

    /**
     * Saves and syncs a state.
     *
     * @throws StoreException if the state may not be durable; the stored state is then the previous one or this one
     */
    public void save(DurableState next) throws StoreException {
        if (!next.identity().equals(state.identity())) {
            throw new StoreException("cannot save the state of another identity: " + next.identity());
        }
        write(next, fencingTokens);
        state = next;
    }

    /** Returns a copy of the highest saved fencing token of each singleton role. */
    public synchronized Map<String, Long> fencingTokens() {
        return Map.copyOf(fencingTokens);
    }

    /**
     * Saves and syncs the highest fencing token that this acceptor has voted for in a singleton role.
     *
     * @throws StoreException if the token may not be durable; the stored token is then the previous one or this one
     */
    public void saveFencingToken(String role, long token) throws StoreException {
        Map<String, Long> next = new HashMap<>(fencingTokens());
        next.put(role, token);
        write(state, next);
        setFencingTokens(next);
    }

    /** Closes the file. A later save would write a new file. */
    @Override
    public void close() {
        if (current != null) {
            current.close();
        }
        current = null;
        needsRewrite = true;
    }

    /**
     * Reads the file, and syncs it before its state is used. After the process was killed, the operating system may
     * still cache a save that was interrupted before its sync, and a later power loss would undo that save.
     */
    private void recover() throws IOException {
        current = new StateFile(files, directory.resolve(FILE_NAME));
        state = current.read();
        setFencingTokens(current.readFencingTokens());
        current.sync();
        files.syncDirectory(directory);
    }

    private void create(String identity) throws IOException {
        DurableState initial = DurableState.fresh(identity);
        rewrite(initial, fencingTokens);
        state = initial;
        isNew = true;
    }

    private synchronized void setFencingTokens(Map<String, Long> tokens) {
        fencingTokens = tokens;
    }

    private void write(DurableState nextState, Map<String, Long> nextTokens) throws StoreException {
        try {
            if (needsRewrite || current.sizeBytes() > maxFileBytes) {
                rewrite(nextState, nextTokens);
            } else {
                current.write(nextState, nextTokens);
            }
        } catch (IOException failure) {
            needsRewrite = true;
            throw new StoreException("cannot save the acceptor's state", failure);
        }
        needsRewrite = false;
    }

    /**
     * Writes the whole state to a new file, which replaces the old one once it is synced. This is the only way to
     * continue after a failed sync, since data written to the old file after its last successful sync can't be trusted.
     */
    private void rewrite(DurableState nextState, Map<String, Long> nextTokens) throws IOException {
        Path nextPath = directory.resolve(NEXT_FILE_NAME);
        files.delete(nextPath);
        StateFile next = new StateFile(files, nextPath);
        try {
            next.write(nextState, nextTokens);
            files.rename(nextPath, directory.resolve(FILE_NAME));
            files.syncDirectory(directory);
        } catch (IOException failure) {
            next.close();
            throw failure;
        }
        if (current != null) {
            current.close();
        }
        current = next;
    }
}
