package dewplank.controlplane;

import dewplank.configuration.ChangeRequest;
import dewplank.configuration.ChangeResult;
import dewplank.configuration.ConfigurationDocument;
import dewplank.configuration.InvalidConfigurationException;
import dewplank.exchange.InboundConnection;
import dewplank.register.Outcome;
import dewplank.register.RequestResult;
import dewplank.settings.ResultCode;
import java.util.function.Consumer;

/**
 * Handles operators' requests that read or change the configuration: converts an HTTP request to a request to the
 * register, and the outcome of that request to a response with a result code. {@link OperatorApi} calls it on the
 * loop's thread only.
 */
final class ConfigurationRequests {
    /**
     * Timeout of a change. It is less than one second, because a client without a response after one second sends the
     * request to another control plane.
     */
    private static final double CHANGE_TIMEOUT_MS = 850;

    private static final double READ_TIMEOUT_MS = 850;
    /**
     * Timeout of a change whose body is larger than {@link #LARGE_CHANGE_BYTES}, which takes more time to send, to
     * parse and to store.
     */
    private static final double LARGE_CHANGE_TIMEOUT_MS = 1_500;

    private static final int LARGE_CHANGE_BYTES = 64 * 1024;

    private final OperatorApi.Configurations configurations;

    ConfigurationRequests(OperatorApi.Configurations configurations) {
        this.configurations = configurations;
    }

    /** Reads the newest configuration from a quorum. */
    void read(Consumer<OperatorResponse> respond) {
        configurations.read(READ_TIMEOUT_MS, outcome -> respond.accept(responseToRead(outcome)));
    }

    /**
     * Changes the configuration.
     *
     * @param patch whether the body is a patch; otherwise it is a complete configuration
     * @throws RejectedRequestException if the {@code If-Match} header is missing or is not a version
     */
    void change(InboundConnection.Request request, boolean patch, Consumer<OperatorResponse> respond)
            throws RejectedRequestException {
        long baseVersion = baseVersion(request.headers().get("If-Match"));
        ChangeRequest change = new ChangeRequest(patch, baseVersion, request.body());
        double timeoutMs = request.body().length > LARGE_CHANGE_BYTES ? LARGE_CHANGE_TIMEOUT_MS : CHANGE_TIMEOUT_MS;
        configurations.change(change, timeoutMs, outcome -> respond.accept(responseToChange(outcome)));
    }

    /** Parses the version in the {@code If-Match} header, with or without quotes. */
    private static long baseVersion(String ifMatch) throws RejectedRequestException {
        if (ifMatch == null) {
            throw new RejectedRequestException(
                    ResultCode.IF_MATCH_MISSING, "If-Match has to give the version that the change builds on");
        }
        long version;
        try {
            version = Long.parseLong(ifMatch.replace("\"", "").strip());
        } catch (NumberFormatException e) {
            version = -1;
        }
        if (version < 0) {
            throw new RejectedRequestException(
                    ResultCode.IF_MATCH_MALFORMED, "If-Match should be a version, a whole number");
        }
        return version;
    }

    private OperatorResponse responseToRead(Outcome<ChangeResult> outcome) {
        if (!(outcome instanceof Outcome.Confirmed<ChangeResult> confirmed)) {
            return noQuorum(outcome);
        }
        ConfigurationDocument document = configurations.document(
                confirmed.value() == null ? null : confirmed.value().payload());
        return document.configuration() == null
                ? OperatorResponse.result(ResultCode.NO_CONFIGURATION, "no configuration has been taken yet")
                : OperatorResponse.document(document.configuration().json());
    }

    private static OperatorResponse noQuorum(Outcome<ChangeResult> outcome) {
        return OperatorResponse.result(ResultCode.NO_QUORUM, ((Outcome.Unknown<ChangeResult>) outcome).reason());
    }

    private static OperatorResponse responseToChange(Outcome<ChangeResult> outcome) {
        return outcome instanceof Outcome.Confirmed<ChangeResult> confirmed
                        && confirmed.result() instanceof RequestResult.OfChange<ChangeResult> requestResult
                ? responseTo(requestResult.result())
                : noQuorum(outcome);
    }

    private static OperatorResponse responseTo(ChangeResult result) {
        if (result instanceof ChangeResult.Accepted) {
            return OperatorResponse.result(ResultCode.OK, "");
        }
        if (result instanceof ChangeResult.AlreadyAccepted) {
            return OperatorResponse.result(ResultCode.ALREADY_TAKEN, "");
        }
        if (result instanceof ChangeResult.VersionMismatch mismatch) {
            return OperatorResponse.result(
                    ResultCode.VERSION_MISMATCH,
                    "version " + mismatch.current() + " is in place",
                    JsonText.rawField("version", mismatch.current()));
        }
        if (result instanceof ChangeResult.HistoryExpired expired) {
            return OperatorResponse.result(
                    ResultCode.BEYOND_HISTORY,
                    "changes on versions below " + expired.oldestBaseVersion() + " are no longer remembered");
        }
        InvalidConfigurationException error = ((ChangeResult.Invalid) result).error();
        return OperatorResponse.result(
                ResultCode.INVALID_CONFIGURATION,
                error.getMessage(),
                JsonText.field("reason", error.reason().name()),
                JsonText.field("key", error.key()));
    }
}
