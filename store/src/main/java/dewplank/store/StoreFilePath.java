package dewplank.store;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.h2.store.fs.FilePath;

/**
 * The way of an open file into an MVStore, which only takes names of registered schemes: the file is filed under a
 * name used once and taken out when the MVStore opens that name.
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

    /** The name under which an MVStore finds this file, once. */
    static String register(StoreFile file) {
        String name = SCHEME + ":" + NEXT_NAME.incrementAndGet();
        PENDING_FILES.put(name, file);
        return name;
    }

    @Override
    public FileChannel open(String mode) throws IOException {
        StoreFile file = PENDING_FILES.remove(name);
        if (file == null) {
            throw new IOException("no file was handed over as " + name);
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
