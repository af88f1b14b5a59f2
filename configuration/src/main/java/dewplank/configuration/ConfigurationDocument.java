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

/** What the register holds: the configuration and the last changes that were taken; immutable. */
public final class ConfigurationDocument {
    /**
     * Changes that are remembered. At five changes a second 1,024 reach back over three minutes of resends, and take
     * 24 KB of every write, an eighth of a configuration of 600 routes. A resend that they no longer reach gets no
     * clear answer, see {@link ChangeResult.HistoryExpired}.
     */
    public static final int MAX_REMEMBERED_CHANGES = 1_024;
    /** The longest body of a request that is read. */
    public static final int MAX_BODY_BYTES = 4 << 20;

    /**
     * First byte of a payload that is compressed, above the formats of a history, with which older payloads begin. Each
     * change sends the payload to every acceptor and each of them writes it: of 2,000 routes 0.6 MB, which over a link
     * of 100 Mbit/s took longer than a round may.
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
     * The document that a payload holds.
     *
     * @param payload what {@link #encode} gave, or null for the document before the first configuration
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

    /** The document as the register's payload. */
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
     * Looks at a change on top of this document. A change that stands in the history is answered as taken, whatever
     * came since; a body that cannot be read is invalid whatever it builds on. As every version has one successor at
     * most, a change that builds on a version whose successor is remembered, and is not that successor, was never
     * taken: only then it is refused.
     *
     * @param request the change
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
