package dewplank.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Picks the prefill server and the decode server of a generation. The server that prefilled the shared parts of the
 * prompt before is likely to have them cached, so the prompt goes to the owner of its prefix unless the expected wait
 * at another server is shorter by more than the time that the cache saves.
 *
 * <p>Called by generations for each attempt, on the event loop. No I/O; the caller passes the time with each call, in
 * milliseconds of the loop's clock. The {@link ServerPicker} makes all random draws.
 *
 * <p>Decode servers don't prefill short prompts, because this interrupts their streams. When they always prefilled
 * prompts of up to 250, 800 or 2,500 uncached tokens, the score of the longer streams was 0.88, 0.76 or 0.37,
 * respectively, compared with 0.91 when they never did. When they did so only while prefill servers were overloaded,
 * the score of a run at high load was 0.60 instead of 0.99. {@link RoutingParameters} defines the score.
 */
public final class PrefillDecodePicker {
    private static final RoutingParameters.PrefillLoad PREFILL = RoutingParameters.DEFAULTS.prefillLoad();
    private static final RoutingParameters.DecodeLoad DECODE = RoutingParameters.DEFAULTS.decodeLoad();

    /**
     * The arguments for picking a decode server.
     *
     * @param servers all decode servers of the service
     * @param prompt the request's prompt
     * @param prefillZone the zone in which the prompt was prefilled; empty if the decode server has to prefill it
     * @param connected whether there is an idle connection to a server, so that none has to be opened
     * @param allowed to which of these servers the request may be sent
     * @param allowsTrial whether the request may be a trial of an ejected server
     */
    public record DecodeArguments(
            List<TrackedServer> servers,
            PromptPrefix prompt,
            Optional<String> prefillZone,
            Predicate<TrackedServer> connected,
            Predicate<TrackedServer> allowed,
            boolean allowsTrial) {}

    private final ServerPicker picker;
    private final PrefillQueues queues = new PrefillQueues();

    /** Creates a picker that uses a {@link ServerPicker} and its policy. */
    public PrefillDecodePicker(ServerPicker picker) {
        this.picker = picker;
    }

    /** Records the length of a prompt that arrived. Must be called once for each prompt, before the picks for it. */
    public void recordPrompt(PromptPrefix prompt) {
        queues.recordPrompt(prompt.tokens());
    }

    /**
     * Picks the prefill server; empty if no server is available.
     *
     * @param servers all prefill servers of the service
     * @param allowed to which of these servers the request may be sent
     */
    public Optional<TrackedServer> pickPrefillServer(
            double nowMs, List<TrackedServer> servers, PromptPrefix prompt, Predicate<TrackedServer> allowed) {
        boolean splitsByLength = picker.policy().isEnabled(Mechanism.LANES);
        List<TrackedServer> candidates = splitsByLength ? queues.serversFor(servers, prompt.tokens()) : servers;
        return picker.pick(
                nowMs,
                new ServerPicker.PickArguments(
                        candidates,
                        allowed,
                        server -> estimatedPrefillWaitMs(nowMs, server),
                        prefixOwner(nowMs, candidates, prompt),
                        PREFILL.cachedPrefixCredit() * prompt.sharedTokens() / PREFILL.tokensPerMs(),
                        true));
    }

    /**
     * The estimated time in milliseconds until the server starts on a prompt that is sent now. It is the longer of two
     * times, the prefill of this data plane's tokens in flight and the queue delay of recent prompts, plus a penalty if
     * the server is stalled.
     */
    public double estimatedPrefillWaitMs(double nowMs, TrackedServer server) {
        Policy policy = picker.policy();
        double observedMs = policy.isEnabled(Mechanism.QUEUE_MEMORY) ? server.estimatedQueueDelayMs(nowMs) : 0;
        double waitMs = Math.max(server.tokensInFlight() / PREFILL.tokensPerMs(), observedMs);
        boolean stalled = policy.isEnabled(Mechanism.STUCK)
                && server.oldestPrefillWaitMs(nowMs) > PREFILL.stalledAfterMs() + waitMs;
        return waitMs + (stalled ? PREFILL.stalledPenaltyMs() : 0);
    }

    /** The time in milliseconds in which a prefill server processes a prompt, without queueing. */
    public static double prefillMs(long tokens) {
        return tokens / PREFILL.tokensPerMs();
    }

    /** The time in milliseconds in which a decode server prefills a prompt, interleaved with its streams. */
    public static double prefillAtDecodeServerMs(long tokens) {
        return DECODE.prefillSlowdown() * prefillMs(tokens);
    }

    /** Picks the decode server; empty if no server is available. */
    public Optional<TrackedServer> pickDecodeServer(double nowMs, DecodeArguments arguments) {
        return picker.pick(
                nowMs,
                arguments
                        .prefillZone()
                        .map(zone -> argumentsAfterTransfer(nowMs, arguments, zone))
                        .orElseGet(() -> argumentsForOwnPrefill(nowMs, arguments)));
    }

    /** The arguments for a KV cache that is transferred from another server; compares load, zone and connection. */
    private ServerPicker.PickArguments argumentsAfterTransfer(
            double nowMs, DecodeArguments arguments, String prefillZone) {
        return new ServerPicker.PickArguments(
                arguments.servers(),
                arguments.allowed(),
                server -> decodeLoadTokens(nowMs, server)
                        + (server.zone().equals(prefillZone) ? 0 : crossZoneTokens())
                        + (arguments.connected().test(server) ? 0 : connectionTokens()),
                Optional.empty(),
                0,
                arguments.allowsTrial());
    }

    /** The arguments for a prompt that the decode server prefills itself; prefers the owner of the prefix. */
    private ServerPicker.PickArguments argumentsForOwnPrefill(double nowMs, DecodeArguments arguments) {
        return new ServerPicker.PickArguments(
                arguments.servers(),
                arguments.allowed(),
                server -> decodeLoadTokens(nowMs, server),
                prefixOwner(nowMs, arguments.servers(), arguments.prompt()),
                arguments.prompt().sharedTokens(),
                arguments.allowsTrial());
    }

    private double connectionTokens() {
        return picker.policy().isEnabled(Mechanism.REUSE) ? DECODE.connectionTokens() : 0;
    }

    private double crossZoneTokens() {
        return picker.policy().isEnabled(Mechanism.ZONE) ? DECODE.crossZoneTokens() : 0;
    }

    private double decodeLoadTokens(double nowMs, TrackedServer server) {
        boolean stalled = picker.policy().isEnabled(Mechanism.STUCK)
                && server.oldestPrefillWaitMs(nowMs) > PREFILL.stalledAfterMs();
        return (stalled ? PREFILL.stalledPenaltyMs() * PREFILL.tokensPerMs() : 0)
                + server.tokensInFlight()
                + DECODE.requestTokens() * server.inFlight();
    }

    /** The eligible server that owns the prompt's shared prefix; empty if the prompt shares none. */
    private Optional<TrackedServer> prefixOwner(double nowMs, List<TrackedServer> servers, PromptPrefix prompt) {
        Optional<String> key = prompt.affinityKey();
        return key.isEmpty() || !picker.policy().isEnabled(Mechanism.HOMES)
                ? Optional.empty()
                : PrefixAffinity.ownerOf(key.get(), picker.eligibleServers(nowMs, servers));
    }
}
