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
final class LayeredPath extends FilePath {
    private static final String SCHEME = "layered";
    private static final Map<String, StoreFile> HANDED_OVER = new ConcurrentHashMap<>();
    private static final AtomicLong NAMES = new AtomicLong();

    static {
        FilePath.register(new LayeredPath(SCHEME + ":"));
    }

    private LayeredPath(String name) {
        this.name = name;
    }

    /** The name under which an MVStore finds this file, once. */
    static String nameOf(StoreFile file) {
        String name = SCHEME + ":" + NAMES.incrementAndGet();
        HANDED_OVER.put(name, file);
        return name;
    }

    @Override
    public FileChannel open(String mode) throws IOException {
        StoreFile file = HANDED_OVER.remove(name);
        if (file == null) {
            throw new IOException("no file was handed over as " + name);
        }
        return new LayeredChannel(file);
    }

    @Override
    public String getScheme() {
        return SCHEME;
    }

    @Override
    public LayeredPath getPath(String path) {
        return new LayeredPath(path);
    }

    @Override
    public boolean exists() {
        return HANDED_OVER.containsKey(name);
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
