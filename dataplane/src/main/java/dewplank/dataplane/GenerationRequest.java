package dewplank.dataplane;

import dewplank.configuration.Route;
import dewplank.configuration.Service;
import dewplank.configuration.Tenant;
import dewplank.exchange.InboundConnection;
import dewplank.http.Headers;
import dewplank.routing.Mechanism;
import dewplank.routing.PrefillDecodePicker;
import dewplank.routing.PromptPrefix;
import dewplank.routing.RoutingParameters;
import java.util.OptionalInt;

/**
 * A generation: the prompt is prefilled at one server, its KV cache transferred to another, and the tokens streamed
 * from there. Where no prefill server can take it the decode server prefills the prompt itself. On the event loop's
 * thread only.
 */
final class GenerationRequest extends ProxiedRequest {
    private static final RoutingParameters.LastResort LAST_RESORT = RoutingParameters.DEFAULTS.lastResort();

    /** The {@link HeaderNames#PRIORITY} field goes from 0, the most urgent, to this. */
    private static final int MAX_PRIORITY_RANK = 9;
    /** What servers take a request for that names none. */
    private static final String DEFAULT_PRIORITY = "5";

    final PromptPrefix prefix;
    final KvTransfer kvTransfer;

    private final PrefillPhase prefill = new PrefillPhase(this);
    private final DecodePhase decode = new DecodePhase(this);
    private double prefilledAt;

    GenerationRequest(
            Forwarder forwarder,
            InboundConnection.Request request,
            InboundConnection client,
            Route route,
            Service service,
            Credentials credentials,
            double arrivedAt) {
        super(forwarder, request, client, route, service, credentials, arrivedAt);
        this.prefix = PromptPrefix.parse(request.headers().get(HeaderNames.PROMPT_PREFIX));
        if (prefix.tokens() > 0) {
            forwarder.prefillDecodePicker().recordPrompt(prefix);
        }
        this.kvTransfer = new KvTransfer(forwarder);
        this.prefilledAt = arrivedAt;
    }

    @Override
    void sendFirstAttempt() {
        if (prefix.tokens() == 0) { // nothing that a prefill server could do
            startDecode();
        } else {
            prefill.start();
        }
    }

    /** The prompt is prefilled, or the decode server is to do it. */
    void startDecode() {
        decode.start();
    }

    /** A prefill server has answered with the prompt's handle. */
    void recordPrefilled(KvHandle handle) {
        prefilledAt = loop.now();
        kvTransfer.retain(handle);
    }

    /** When the prompt was prefilled, in the loop's milliseconds; the arrival where no prefill server did it. */
    double prefilledAt() {
        return prefilledAt;
    }

    /**
     * Whether a decode server may prefill the prompt without a pause that its other streams would miss their target by.
     * Half of the pause as the bound was worth less on a busy day with few servers (docs/policy.md, rounds).
     */
    boolean allowsPrefillAtDecodeServer() {
        return route.maxEventGapMs() == 0
                || PrefillDecodePicker.prefillAtDecodeServerMs(prefix.tokens()) <= route.maxEventGapMs();
    }

    /**
     * When a decode server has to begin at the latest to prefill the prompt: its first event is to come before the
     * client gives the stream up, or the deadline.
     */
    double lastResortAt() {
        double clientStallTimeoutMs = Math.max(
                LAST_RESORT.minClientTimeoutMs(),
                Math.max(
                        LAST_RESORT.clientTimeoutTargetFactor() * route.targetLatencyMs(),
                        LAST_RESORT.clientTimeoutGapFactor() * route.maxEventGapMs()));
        double neededMs = LAST_RESORT.prefillFactor() * PrefillDecodePicker.prefillAtDecodeServerMs(prefix.tokens())
                + LAST_RESORT.firstEventMs();
        return Math.min(arrivedAt + clientStallTimeoutMs, deadline.atMs()) - neededMs;
    }

    /** Tokens that are not shared: those before are likely cached where they were prefilled. */
    long unsharedTokens() {
        return prefix.tokens() - prefix.sharedTokens();
    }

    /** The request's rank, 0 being the highest: its tenant's, or else its route's. */
    int rank() {
        return credentials
                .tenant()
                .map(Tenant::priority)
                .orElse(OptionalInt.empty())
                .orElse(route.priority());
    }

    /** The header field with the request's rank for a server; 0 is the most urgent. */
    Headers.Field priority(int rank) {
        if (!forwarder.policy().isEnabled(Mechanism.PRIORITY)) {
            return new Headers.Field(HeaderNames.PRIORITY, DEFAULT_PRIORITY);
        }
        int bounded = Math.max(0, Math.min(MAX_PRIORITY_RANK, rank));
        return new Headers.Field(HeaderNames.PRIORITY, Integer.toString(bounded));
    }

    /** An attempt that only has the prompt prefilled does not run the request. */
    @Override
    boolean hasRunUnderWay() {
        return decode.hasRunUnderWay();
    }

    @Override
    boolean isAnswerStarted() {
        return decode.isStreamStarted();
    }

    @Override
    void cancelAttempts() {
        prefill.cancel();
        decode.cancel();
        kvTransfer.free();
    }
}
