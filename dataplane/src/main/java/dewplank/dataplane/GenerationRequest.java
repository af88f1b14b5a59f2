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
 * A generation request: one server prefills the prompt, its KV cache is transferred to another server, and that server
 * streams the tokens. If no prefill server is available, the decode server prefills the prompt itself. Not thread-safe;
 * must be used on the event loop's thread only.
 */
final class GenerationRequest extends ProxiedRequest {
    private static final RoutingParameters.DecodePrefillDeadline DECODE_PREFILL_DEADLINE =
            RoutingParameters.DEFAULTS.decodePrefillDeadline();

    /** Highest value, and lowest urgency, of the {@link HeaderNames#PRIORITY} field; 0 is the most urgent. */
    private static final int MAX_PRIORITY_LEVEL = 9;
    /**
     * Value of the field for every request if priorities are disabled: servers assume it for a request without the
     * field.
     */
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
        if (prefix.tokens() == 0) { // no prompt to prefill
            startDecode();
        } else {
            prefill.start();
        }
    }

    /** Starts the decode phase after the prompt was prefilled, or if the decode server is to prefill it. */
    void startDecode() {
        decode.start();
    }

    /** Records the KV handle from a prefill server's response. */
    void recordPrefilled(KvHandle handle) {
        prefilledAt = loop.now();
        kvTransfer.retain(handle);
    }

    /**
     * When the prompt was prefilled, in the loop's milliseconds; the arrival time if no prefill server prefilled it.
     */
    double prefilledAt() {
        return prefilledAt;
    }

    /**
     * Whether a decode server can prefill the prompt without delaying its other streams beyond their target for gaps
     * between events. With half of that gap as the limit, runs at high load with few servers had a lower value, that is
     * a lower score from 0 to 1 ({@code docs/policy.md}).
     */
    boolean allowsPrefillAtDecodeServer() {
        return route.maxEventGapMs() == 0
                || PrefillDecodePicker.prefillAtDecodeServerMs(prefix.tokens()) <= route.maxEventGapMs();
    }

    /**
     * The latest time for a decode server to start prefilling the prompt so that its first event arrives before the
     * client abandons the stream and before the deadline.
     */
    double latestDecodePrefillStart() {
        double clientStallTimeoutMs = Math.max(
                DECODE_PREFILL_DEADLINE.minClientTimeoutMs(),
                Math.max(
                        DECODE_PREFILL_DEADLINE.clientTimeoutTargetFactor() * route.targetLatencyMs(),
                        DECODE_PREFILL_DEADLINE.clientTimeoutGapFactor() * route.maxEventGapMs()));
        double neededMs =
                DECODE_PREFILL_DEADLINE.prefillFactor() * PrefillDecodePicker.prefillAtDecodeServerMs(prefix.tokens())
                        + DECODE_PREFILL_DEADLINE.firstEventMs();
        return Math.min(arrivedAt + clientStallTimeoutMs, deadline.atMs()) - neededMs;
    }

    /** Number of the prompt's tokens that are not shared with other prompts; the shared ones are probably cached. */
    long unsharedTokens() {
        return prefix.tokens() - prefix.sharedTokens();
    }

    /**
     * The request's priority level, 0 being the most urgent: the level of its tenant, or of its route if the tenant has
     * none.
     */
    int priorityLevel() {
        return credentials
                .tenant()
                .map(Tenant::priority)
                .orElse(OptionalInt.empty())
                .orElse(route.priority());
    }

    /** The header field that states the priority level to a server, limited to {@link #MAX_PRIORITY_LEVEL}. */
    Headers.Field priorityField(int level) {
        if (!forwarder.policy().isEnabled(Mechanism.PRIORITY)) {
            return new Headers.Field(HeaderNames.PRIORITY, DEFAULT_PRIORITY);
        }
        int bounded = Math.max(0, Math.min(MAX_PRIORITY_LEVEL, level));
        return new Headers.Field(HeaderNames.PRIORITY, Integer.toString(bounded));
    }

    /** A prefill attempt does not count as running the request. */
    @Override
    boolean mayBeRunning() {
        return decode.mayBeRunning();
    }

    @Override
    boolean isResponseStarted() {
        return decode.isStreamStarted();
    }

    @Override
    void cancelAttempts() {
        prefill.cancel();
        decode.cancel();
        kvTransfer.free();
    }
}
