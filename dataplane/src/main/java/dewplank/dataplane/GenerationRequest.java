package dewplank.dataplane;

import dewplank.configuration.Route;
import dewplank.configuration.Service;
import dewplank.exchange.InboundConnection;
import dewplank.http.Headers;
import dewplank.routing.Mechanism;
import dewplank.routing.PrefillDecodePicker;
import dewplank.routing.PromptPrefix;
import dewplank.routing.RoutingParameters;

/**
 * A generation: the prompt is prefilled at one server, its KV cache handed over to another, and the tokens streamed
 * from there. Where no prefill server can take it the decode server prefills the prompt itself.
 */
final class GenerationRequest extends ProxiedRequest {
    private static final RoutingParameters.LastResort LAST_RESORT = RoutingParameters.DEFAULTS.lastResort();

    private static final int LEAST_URGENT = 9;
    /** What servers take a request for that names none. */
    private static final String USUAL_PRIORITY = "5";

    final PromptPrefix prefix;
    final KvTransfer handover;
    /** When the prompt was read; the arrival before. */
    double readAt;

    private final PrefillPhase prefill = new PrefillPhase(this);
    private final DecodePhase decode = new DecodePhase(this);

    GenerationRequest(
            Forwarder forwarder,
            InboundConnection.Request request,
            InboundConnection client,
            Route route,
            Service service,
            double arrivedAt) {
        super(forwarder, request, client, route, service, arrivedAt);
        this.prefix = PromptPrefix.parse(request.headers().get(HeaderNames.PROMPT_PREFIX));
        if (prefix.tokens() > 0) {
            forwarder.pairs().recordPrompt(prefix);
        }
        this.handover = new KvTransfer(forwarder);
        this.readAt = arrivedAt;
    }

    @Override
    void send() {
        if (prefix.tokens() == 0) { // nothing to be read apart
            decode();
        } else {
            prefill.begin();
        }
    }

    /** The prompt is read, or is to be read by the decode server. */
    void decode() {
        decode.begin();
    }

    /**
     * Whether a decode server may prefill the prompt without a pause that its other streams would be late by. Half of
     * the pause as the bound was worth less on a busy day with few servers (docs/policy.md, rounds).
     */
    boolean mayBeReadAtDecode() {
        return route.maxEventGapMs() == 0
                || PrefillDecodePicker.prefillAtDecodeServerMs(prefix.tokens()) <= route.maxEventGapMs();
    }

    /**
     * When a decode server has to begin at the latest to prefill the prompt: its first event is to come before the
     * client gives the stream up, or the time is over.
     */
    double lastResortAt() {
        double silence = Math.max(
                LAST_RESORT.minClientTimeoutMs(),
                Math.max(
                        LAST_RESORT.clientTimeoutTargetFactor() * route.targetLatencyMs(),
                        LAST_RESORT.clientTimeoutGapFactor() * route.maxEventGapMs()));
        double needed = LAST_RESORT.prefillFactor() * PrefillDecodePicker.prefillAtDecodeServerMs(prefix.tokens())
                + LAST_RESORT.firstEventMs();
        return Math.min(arrivedAt + silence, deadline) - needed;
    }

    /** Tokens that are not shared: those before are likely kept where they were read. */
    long ownTokens() {
        return prefix.tokens() - prefix.sharedTokens();
    }

    Headers.Field priority(int rank) {
        if (!forwarder.policy().isEnabled(Mechanism.PRIORITY)) {
            return new Headers.Field(HeaderNames.PRIORITY, USUAL_PRIORITY);
        }
        return new Headers.Field(HeaderNames.PRIORITY, Integer.toString(Math.max(0, Math.min(LEAST_URGENT, rank))));
    }

    /** A call that only has the prompt read does not run the request. */
    @Override
    boolean runMayBeUnderWay() {
        return decode.underWay();
    }

    @Override
    boolean answering() {
        return decode.begun();
    }

    @Override
    void cancelCalls() {
        prefill.cancel();
        decode.cancel();
        handover.free();
    }
}
