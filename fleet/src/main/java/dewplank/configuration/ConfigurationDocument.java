package dewplank.configuration;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import dewplank.configuration.ChangeResult.Accepted;
import dewplank.configuration.ChangeResult.AlreadyAccepted;
import dewplank.configuration.ChangeResult.Invalid;
import dewplank.configuration.ChangeResult.VersionMismatch;
import dewplank.configuration.InvalidConfigurationException.Reason;
import dewplank.configuration.JsonValue.JsonObject;

/** What the register holds: the configuration and the last changes that were taken; immutable. */
public final class ConfigurationDocument {
    /**
     * Changes that are remembered. A call is resent within seconds of its first sending, and changes come at a few a
     * second at most: 256 cover a minute of those, and take 12 KB of every write.
     */
    public static final int HISTORY = 256;
    /** The longest body of a request that is read. */
    public static final int MAX_BODY_BYTES = 4 << 20;

    private static final int FORMAT = 1;
    private static final int DIGEST_BYTES = 32;
    private static final ConfigurationDocument EMPTY = new ConfigurationDocument(null, List.of());

    /** A change that was taken. */
    private record Change(long version, long baseVersion, byte[] digest) { }

    private final Configuration configuration;
    private final List<Change> history;

    private ConfigurationDocument(Configuration configuration, List<Change> history) {
        this.configuration = configuration;
        this.history = history;
    }

    /**
     * The document that a payload holds.
     *
     * @param payload what {@link #encode} gave, or null for the document before the first configuration
     */
    public static ConfigurationDocument decode(byte[] payload) {
        if (payload == null) {
            return EMPTY;
        }
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload))) {
            if (in.readByte() != FORMAT) {
                throw new IOException("unknown format of a configuration document");
            }
            List<Change> history = readHistory(in);
            byte[] json = in.readAllBytes();
            return new ConfigurationDocument(json.length == 0 ? null : Configuration.parse(json), history);
        } catch (IOException | InvalidConfigurationException damaged) {
            throw new IllegalArgumentException("not the payload of a configuration document", damaged);
        }
    }

    private static List<Change> readHistory(DataInputStream in) throws IOException {
        int count = in.readUnsignedShort();
        List<Change> history = new ArrayList<>(count);
        for (int index = 0; index < count; index++) {
            long version = in.readLong();
            long baseVersion = in.readLong();
            byte[] digest = new byte[DIGEST_BYTES];
            in.readFully(digest);
            history.add(new Change(version, baseVersion, digest));
        }
        return history;
    }

    /** The document as the register's payload. */
    public byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeByte(FORMAT);
            out.writeShort(history.size());
            for (Change change : history) {
                out.writeLong(change.version());
                out.writeLong(change.baseVersion());
                out.write(change.digest());
            }
            if (configuration != null) {
                out.write(configuration.json());
            }
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        return bytes.toByteArray();
    }

    /** The configuration; null before the first. */
    public Configuration configuration() {
        return configuration;
    }

    /** The configuration's version; 0 before the first. */
    public long version() {
        return configuration == null ? 0 : configuration.version();
    }

    /**
     * Looks at a change on top of this document. A change that stands in the history is answered as taken, whatever
     * came since; a body that cannot be read is invalid whatever it builds on.
     *
     * @param request the change
     */
    public ChangeResult apply(ChangeRequest request) {
        byte[] digest = request.digest();
        for (Change change : history) {
            if (change.baseVersion() == request.expectedVersion() && Arrays.equals(change.digest(), digest)) {
                return new AlreadyAccepted(change.version());
            }
        }
        try {
            return applyNew(request, digest);
        } catch (InvalidConfigurationException error) {
            return new Invalid(error);
        }
    }

    private ChangeResult applyNew(ChangeRequest request, byte[] digest) throws InvalidConfigurationException {
        if (request.body().length > MAX_BODY_BYTES) {
            throw new InvalidConfigurationException(Reason.TOO_LARGE, "", "longer than " + MAX_BODY_BYTES + " bytes");
        }
        JsonObject body = JsonTextReader.readObject(request.body());
        if (request.expectedVersion() != version()) {
            return new VersionMismatch(version());
        }
        Configuration next = next(request.patch(), body);
        if (next.version() <= version()) {
            throw new InvalidConfigurationException(Reason.VERSION_NOT_ABOVE, Configuration.VERSION,
                    "is not above " + version());
        }
        Change change = new Change(next.version(), request.expectedVersion(), digest);
        return new Accepted(new ConfigurationDocument(next, remembered(change)));
    }

    private Configuration next(boolean patch, JsonObject body) throws InvalidConfigurationException {
        if (!patch) {
            return Configuration.of(body);
        }
        if (configuration == null) {
            throw new InvalidConfigurationException(Reason.MISSING_FIELD, Item.ROUTES,
                    "there is no configuration to change");
        }
        return configuration.patched(body);
    }

    private List<Change> remembered(Change change) {
        int dropped = Math.max(0, history.size() + 1 - HISTORY);
        List<Change> next = new ArrayList<>(history.subList(dropped, history.size()));
        next.add(change);
        return List.copyOf(next);
    }
}
