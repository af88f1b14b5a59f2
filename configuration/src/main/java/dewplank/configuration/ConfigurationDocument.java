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
 * The control plane decodes the register's payload to it, applies an operator's change, and proposes the encoded
 * result.
 */
public final class ConfigurationDocument {
    /**
     * Accepted changes in the history. At five changes a second 1,024 cover three minutes of retries, and take 24 KB of
     * every write, an eighth of a configuration of 600 routes. A retry that they no longer cover gets no clear answer,
     * see {@link ChangeResult.HistoryExpired}.
     */
    public static final int MAX_REMEMBERED_CHANGES = 1_024;
    /** The longest body of a change. */
    public static final int MAX_BODY_BYTES = 4 << 20;

    /**
     * First byte of a compressed payload, above the formats of a history, with which older payloads begin. Each change
     * sends the payload to every acceptor and each of them writes it: without compression 0.6 MB for 2,000 routes,
     * which over a link of 100 Mbit/s took longer than a round may.
     */
    private static final int COMPRESSED = 64;

    private static final int MAX_PLAIN_BYTES = 64 << 20; // more than the machines could hold

    private static final ConfigurationDocument EMPTY = new ConfigurationDocument(null, ChangeHistory.EMPTY);

    private final Configuration configuration;
    private final ChangeHistory history;

    private ConfigurationDocument(Configuration configuration, ChangeHistory history) {
        this.configuration = configuration;
        this.history = history;
    }

    /**
     * Decodes a payload of this or an earlier release.
     *
     * @param payload what {@link #encode} returned, or null for the document before the first configuration
     * @throws IllegalArgumentException if the payload is damaged: the register returns only what was encoded here
     */
    public static ConfigurationDocument decode(byte[] payload) {
        if (payload == null) {
            return EMPTY;
        }
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(inflated(payload)))) {
            ChangeHistory history = ChangeHistory.read(in);
            byte[] json = in.readAllBytes();
            return new ConfigurationDocument(json.length == 0 ? null : Configuration.parse(json), history);
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

    /** The document as the register's payload; the same document always gives the same bytes. */
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
     * Applies a change on top of this document, which stays as it is.
     *
     * <p>A change in the history is answered as accepted, whatever followed it; a body that can't be read is invalid
     * whatever it builds on. Every version has one successor at most. So a change on a version whose successor is in
     * the history, and is another one, was never accepted: only then it is rejected.
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
            return new HistoryExpired(history.oldestBase());
        }
        if (request.expectedVersion() != version()) {
            return new VersionMismatch(version());
        }
        Configuration next = changedConfiguration(request.patch(), body);
        if (next.version() <= version()) {
            throw new InvalidConfigurationException(
                    Reason.VERSION_NOT_ABOVE, Configuration.VERSION, "is not above " + version());
        }
        return new Accepted(new ConfigurationDocument(next, history.with(next.version(), digest)));
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
