package dewplank.configuration;

import dewplank.configuration.ChangeResult.Accepted;
import dewplank.configuration.ChangeResult.AlreadyAccepted;
import dewplank.configuration.ChangeResult.HistoryExpired;
import dewplank.configuration.ChangeResult.Invalid;
import dewplank.configuration.ChangeResult.VersionMismatch;
import dewplank.configuration.InvalidConfigurationException.Reason;
import dewplank.configuration.JsonValue.JsonObject;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.OptionalLong;

/**
 * The register's value: a configuration and the history of the last accepted changes. Immutable; any thread may use it.
 * The control plane decodes the register's payload into a document, applies an operator's change, and proposes the
 * encoded result.
 */
public final class ConfigurationDocument {
    /**
     * The maximum number of accepted changes in the history. At five changes a second, 1,024 changes cover three
     * minutes of retries and add 24 KB to every write, an eighth of a configuration of 600 routes. A retry of an older
     * change is neither confirmed nor rejected, see {@link ChangeResult.HistoryExpired}.
     */
    public static final int MAX_HISTORY_CHANGES = 1_024;
    /** The maximum length of a change's body. */
    public static final int MAX_BODY_BYTES = 4 << 20;

    /**
     * The first byte of a compressed payload. It is above the format numbers of a history, with which older payloads
     * begin. Each change sends the payload to every acceptor, and each acceptor writes it: without compression, 0.6 MB
     * for 2,000 routes, which over a link of 100 Mbit/s took longer than a round may take.
     */
    private static final int COMPRESSED = 64;

    /** The maximum size of a decompressed payload; a larger text would exceed the machines' memory. */
    private static final int MAX_PLAIN_BYTES = 16 << 20;

    private static final ConfigurationDocument EMPTY = new ConfigurationDocument(null, ChangeHistory.EMPTY, 0);

    private final Configuration configuration;
    private final ChangeHistory history;
    /** About the length of the configuration's text, from the lengths of the bodies that it was made of. */
    private final long estimatedBytes;

    private ConfigurationDocument(Configuration configuration, ChangeHistory history, long estimatedBytes) {
        this.configuration = configuration;
        this.history = history;
        this.estimatedBytes = estimatedBytes;
    }

    /**
     * Decodes a payload of this or an earlier release.
     *
     * @param payload the result of {@link #encode}, or null for the document before the first configuration
     * @throws IllegalArgumentException if the payload is damaged; the register returns only what was encoded here
     */
    public static ConfigurationDocument decode(byte[] payload) {
        if (payload == null) {
            return EMPTY;
        }
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(inflated(payload)))) {
            ChangeHistory history = ChangeHistory.read(in);
            byte[] json = in.readAllBytes();
            return new ConfigurationDocument(json.length == 0 ? null : Configuration.parse(json), history, json.length);
        } catch (IOException | InvalidConfigurationException damaged) {
            throw new IllegalArgumentException("not the payload of a configuration document", damaged);
        }
    }

    private static byte[] inflated(byte[] payload) throws IOException {
        boolean compressed = payload.length > 0 && payload[0] == COMPRESSED;
        return compressed
                ? DeflateCodec.inflate(Arrays.copyOfRange(payload, 1, payload.length), MAX_PLAIN_BYTES)
                : payload;
    }

    /** Encodes the document as the register's payload; the same document always yields the same bytes. */
    public byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            history.write(out);
            if (configuration != null) {
                out.write(configuration.json());
            }
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
        byte[] compressed = DeflateCodec.deflate(bytes.toByteArray());
        byte[] payload = new byte[1 + compressed.length];
        payload[0] = COMPRESSED;
        System.arraycopy(compressed, 0, payload, 1, compressed.length);
        return payload;
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
     * Applies a change on top of this document, without modifying this document.
     *
     * <p>A change in the history is reported as accepted, regardless of later changes. An unreadable body is invalid,
     * regardless of the version that it is based on. Every version has at most one successor. So if the history covers
     * the version that a change is based on, but does not contain the change, it was never accepted on top of it. Only
     * then is the change rejected with a version mismatch.
     */
    public ChangeResult apply(ChangeRequest request) {
        byte[] digest = request.digest();
        OptionalLong acceptedVersion = history.findVersion(request.expectedVersion(), digest);
        if (acceptedVersion.isPresent()) {
            return new AlreadyAccepted(acceptedVersion.getAsLong());
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
        if (!history.covers(request.expectedVersion())) {
            return new HistoryExpired(history.oldestBaseVersion());
        }
        if (request.expectedVersion() != version()) {
            return new VersionMismatch(version());
        }
        Configuration next = changedConfiguration(request.patch(), body);
        if (next.version() <= version()) {
            throw new InvalidConfigurationException(
                    Reason.VERSION_NOT_ABOVE, Configuration.VERSION, "is not above " + version());
        }
        long nextBytes = checkedSize(request, next);
        return new Accepted(new ConfigurationDocument(next, history.withChange(next.version(), digest), nextBytes));
    }

    /** Returns about the length of the changed configuration, and counts exactly where that may be too long. */
    private long checkedSize(ChangeRequest request, Configuration next) throws InvalidConfigurationException {
        long estimate = request.body().length + (request.patch() ? estimatedBytes : 0);
        if (estimate <= MAX_BODY_BYTES) {
            return estimate;
        }
        int length = next.json().length;
        if (length > MAX_BODY_BYTES) {
            throw new InvalidConfigurationException(
                    Reason.TOO_LARGE, "", "the whole configuration is longer than " + MAX_BODY_BYTES + " bytes");
        }
        return length;
    }

    private Configuration changedConfiguration(boolean patch, JsonObject body) throws InvalidConfigurationException {
        if (!patch) {
            return Configuration.of(body);
        }
        if (configuration == null) {
            throw new InvalidConfigurationException(
                    Reason.MISSING_FIELD, NamedItem.ROUTES, "there is no configuration to change");
        }
        return configuration.patched(body);
    }
}
