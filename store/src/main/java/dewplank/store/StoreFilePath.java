package dewplank.store;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.h2.store.fs.FilePath;

/**
 * The {@code FilePath} through which an MVStore opens a {@link StoreFile}.
 *
 * <p>H2 opens files only by name, with a registered scheme, and accepts no file objects. So each file is registered
 * under a unique name, and removed when the MVStore opens that name. Thread-safe, since tests may open the stores of
 * several processes in one virtual machine. Operations that an MVStore with one open file never calls are unsupported.
 */
final class StoreFilePath extends FilePath {
    private static final String SCHEME = "layered";
    private static final Map<String, StoreFile> PENDING_FILES = new ConcurrentHashMap<>();
    private static final AtomicLong NEXT_NAME = new AtomicLong();

    static {
        FilePath.register(new StoreFilePath(SCHEME + ":"));
    }

    private StoreFilePath(String name) {
        this.name = name;
    }

    /** Registers a file and returns the name by which an MVStore may open it once. */
    static String register(StoreFile file) {
        String name = SCHEME + ":" + NEXT_NAME.incrementAndGet();
        PENDING_FILES.put(name, file);
        return name;
    }

    @Override
    public FileChannel open(String mode) throws IOException {
        StoreFile file = PENDING_FILES.remove(name);
        if (file == null) {
            throw new IOException("no file is registered as " + name);
        }
        return new StoreFileChannel(file);
    }

    @Override
    public String getScheme() {
        return SCHEME;
    }

    @Override
    public StoreFilePath getPath(String path) {
        return new StoreFilePath(path);
    }

    @Override
    public boolean exists() {
        return PENDING_FILES.containsKey(name);
    }

    @Override
    public boolean canWrite() {
        return true;
    }

    @Override
    public boolean isRegularFile() {
        return exists();
    }

    @Override
    public boolean isDirectory() {
        return false;
    }

    @Override
    public boolean isAbsolute() {
        return true;
    }

    @Override
    public FilePath toRealPath() {
        return this;
    }

    @Override
    public FilePath getParent() {
        return null;
    }

    @Override
    public long size() {
        throw new UnsupportedOperationException();
    }

    @Override
    public long lastModified() {
        throw new UnsupportedOperationException();
    }

    @Override
    public void moveTo(FilePath target, boolean atomicReplace) {
        throw new UnsupportedOperationException();
    }

    @Override
    public boolean createFile() {
        throw new UnsupportedOperationException();
    }

    @Override
    public void delete() {
        throw new UnsupportedOperationException();
    }

    @Override
    public List<FilePath> newDirectoryStream() {
        throw new UnsupportedOperationException();
    }

    @Override
    public void createDirectory() {
        throw new UnsupportedOperationException();
    }

    @Override
    public boolean setReadOnly() {
        throw new UnsupportedOperationException();
    }
}
