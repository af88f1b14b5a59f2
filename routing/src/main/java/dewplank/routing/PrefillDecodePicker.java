package dewplank.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Picks the prefill server and the decode server of a generation. Shared parts of its prompt are likely cached where
 * they were read before, so a prompt goes to the owner of its prefix unless another server is likely sooner by more
 * than the cache saves.
 *
 * <p>Called by generations for each attempt, on the event loop. No I/O; time is given with each call, in milliseconds
 * of the loop's clock. Draws are those of the {@link ServerPicker} below.
 *
 * <p>Ruled out by measurement: prompts read by decode servers, which makes the streams there pause. Always up to 250,
 * 800, 2,500 uncached tokens gave the longer streams 0.88, 0.76, 0.37 of their value, never 0.91; only where prefill
 * servers are crowded gave 0.60 on a busy day instead of 0.99.
 */
public final class PrefillDecodePicker {
    private static final RoutingParameters.PrefillLoad PREFILL = RoutingParameters.DEFAULTS.prefillLoad();
    private static final RoutingParameters.DecodeLoad DECODE = RoutingParameters.DEFAULTS.decodeLoad();

    /**
     * What one pick of a decode server is made from.
     *
     * @param servers all that decode for the service
     * @param prompt the request's prompt
     * @param prefillZone the zone in which the prompt was read; empty if the decode server is to prefill it
     * @param connected whether an idle connection to a server is there, so that none has to be opened
     * @param allowed which of the servers the request may go to
     * @param allowsTrial whether the request may be the trial of an ejected server
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

    /** A picker of both servers by another one, with whose policy it decides. */
    public PrefillDecodePicker(ServerPicker picker) {
        this.picker = picker;
    }

    /** A prompt arrived: lengths are learned from it. To be called once for each, before the picks for it. */
    public void recordPrompt(PromptPrefix prompt) {
        queues.recordPrompt(prompt.tokens());
    }

    /**
     * The prefill server; empty if none may be sent to.
     *
     * @param servers all that prefill for the service
     * @param allowed which of them the request may go to
     */
    public Optional<TrackedServer> pickPrefillServer(
            double nowMs, List<TrackedServer> servers, PromptPrefix prompt, Predicate<TrackedServer> allowed) {
        boolean splits = picker.policy().isEnabled(Mechanism.LANES);
        List<TrackedServer> queue = splits ? queues.serversFor(servers, prompt.tokens()) : servers;
        return picker.pick(
                nowMs,
                new ServerPicker.PickArguments(
                        queue,
                        allowed,
                        server -> estimatedPrefillWaitMs(nowMs, server),
                        prefixOwner(nowMs, queue, prompt),
                        PREFILL.cachedPrefixCredit() * prompt.sharedTokens() / PREFILL.tokensPerMs(),
                        true));
    }

    /**
     * Milliseconds until a prompt that is sent there now is begun: the longer of what this data plane has in flight
     * there and what others met lately, and a penalty for a stalled server.
     */
    public double estimatedPrefillWaitMs(double nowMs, TrackedServer server) {
        Policy policy = picker.policy();
        double observedMs = policy.isEnabled(Mechanism.QUEUE_MEMORY) ? server.estimatedQueueDelayMs(nowMs) : 0;
        double waitMs = Math.max(server.tokensInFlight() / PREFILL.tokensPerMs(), observedMs);
        boolean stalled = policy.isEnabled(Mechanism.STUCK)
                && server.oldestPrefillWaitMs(nowMs) > PREFILL.stalledAfterMs() + waitMs;
        return waitMs + (stalled ? PREFILL.stalledPenaltyMs() : 0);
    }

    /** Milliseconds that a prefill server takes for a prompt by itself. */
    public static double prefillMs(long tokens) {
        return tokens / PREFILL.tokensPerMs();
    }

    /** Milliseconds that a decode server takes for a prompt, between the tokens of its streams. */
    public static double prefillAtDecodeServerMs(long tokens) {
        return DECODE.prefillSlowdown() * prefillMs(tokens);
    }

    /** The decode server; empty if none may be sent to. */
    public Optional<TrackedServer> pickDecodeServer(double nowMs, DecodeArguments arguments) {
        return picker.pick(
                nowMs,
                arguments
                        .prefillZone()
                        .map(zone -> byZoneAndConnection(nowMs, arguments, zone))
                        .orElseGet(() -> byPrefixOwner(nowMs, arguments)));
    }

    /** The KV cache comes from another server: what counts is the way from there. */
    private ServerPicker.PickArguments byZoneAndConnection(
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

    /** The decode server prefills the prompt itself: what counts is whether it has the prefix cached. */
    private ServerPicker.PickArguments byPrefixOwner(double nowMs, DecodeArguments arguments) {
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

    /** The eligible server that owns the prompt's shared prefix; empty where nothing is shared. */
    private Optional<TrackedServer> prefixOwner(double nowMs, List<TrackedServer> servers, PromptPrefix prompt) {
        Optional<String> key = prompt.affinityKey();
        return key.isEmpty() || !picker.policy().isEnabled(Mechanism.HOMES)
                ? Optional.empty()
                : PrefixAffinity.ownerOf(key.get(), picker.eligibleServers(nowMs, servers));
    }
}
