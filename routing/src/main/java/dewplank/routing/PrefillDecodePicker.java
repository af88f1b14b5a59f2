package dewplank.routing;

import java.util.List;
import java.util.function.Predicate;

/**
 * Which prefill and which decode server a generation goes to. Parts of its prompt that are shared are likely kept where
 * they were read before, so only the rest counts.
 *
 * <p>Ruled out by measurement: prompts read by decode servers, which makes the streams there pause. Always up to 250,
 * 800, 2,500 own tokens gave the longer streams 0.88, 0.76, 0.37 of their worth, never 0.91; only where prefill servers
 * are crowded gave 0.60 on a busy day instead of 0.99.
 */
public final class PrefillDecodePicker {

    private static final RoutingParameters.PrefillLoad PREFILL = RoutingParameters.DEFAULTS.prefillLoad();
    private static final RoutingParameters.DecodeLoad DECODE = RoutingParameters.DEFAULTS.decodeLoad();

    private final ServerPicker choice;
    private final PrefillQueues lanes = new PrefillQueues();

    public PrefillDecodePicker(ServerPicker choice) {
        this.choice = choice;
    }

    /** A prompt came: lengths are learned. */
    public void recordPrompt(PromptPrefix prefix) {
        lanes.recordPrompt(prefix.tokens());
    }

    /** The prefill server: that of the prefix, unless another one is likely sooner by more than it spares. */
    public TrackedServer pickPrefillServer(
            double now, List<TrackedServer> all, PromptPrefix prefix, Predicate<TrackedServer> allowed) {
        boolean split = choice.policy().isEnabled(Mechanism.LANES);
        List<TrackedServer> servers = split ? lanes.serversFor(all, prefix.tokens()) : all;
        return choice.pick(
                now,
                new ServerPicker.PickArguments(
                        servers,
                        allowed,
                        s -> estimatedPrefillWaitMs(now, s),
                        home(now, servers, prefix),
                        PREFILL.cachedPrefixCredit() * prefix.sharedTokens() / PREFILL.tokensPerMs(),
                        true));
    }

    /** Milliseconds until a prompt sent there now is begun: by own requests, by what others met, or by being stuck. */
    public double estimatedPrefillWaitMs(double now, TrackedServer s) {
        double told = choice.policy().isEnabled(Mechanism.QUEUE_MEMORY) ? s.estimatedQueueDelayMs(now) : 0;
        double queue = Math.max(s.tokensInFlight() / PREFILL.tokensPerMs(), told);
        double stuck = choice.policy().isEnabled(Mechanism.STUCK)
                        && s.oldestPrefillWaitMs(now) > PREFILL.stalledAfterMs() + queue
                ? PREFILL.stalledPenaltyMs()
                : 0;
        return queue + stuck;
    }

    /** What a prompt of so many tokens takes by itself. */
    public static double prefillMs(long tokens) {
        return tokens / PREFILL.tokensPerMs();
    }

    /** What it takes at a decode server, which prefills at half the pace. */
    public static double prefillAtDecodeServerMs(long tokens) {
        return DECODE.prefillSlowdown() * prefillMs(tokens);
    }

    /**
     * The decode server.
     *
     * @param zone the zone in which the prompt was read; null: the decode server is to read it
     * @param connected whether a connection to it rests here, so that none has to be opened
     */
    public TrackedServer pickDecodeServer(
            double now,
            List<TrackedServer> servers,
            PromptPrefix prefix,
            String zone,
            Predicate<TrackedServer> connected,
            Predicate<TrackedServer> allowed,
            boolean mayTry) {
        if (zone == null) {
            return choice.pick(
                    now,
                    new ServerPicker.PickArguments(
                            servers,
                            allowed,
                            s -> load(now, s),
                            home(now, servers, prefix),
                            prefix.sharedTokens(),
                            mayTry));
        }
        return choice.pick(
                now,
                new ServerPicker.PickArguments(
                        servers,
                        allowed,
                        s -> load(now, s)
                                + (s.zone().equals(zone) ? 0 : awayTokens())
                                + (connected.test(s) ? 0 : connectTokens()),
                        null,
                        0,
                        mayTry));
    }

    private double connectTokens() {
        return choice.policy().isEnabled(Mechanism.REUSE) ? DECODE.connectionTokens() : 0;
    }

    private double awayTokens() {
        return choice.policy().isEnabled(Mechanism.ZONE) ? DECODE.crossZoneTokens() : 0;
    }

    private double load(double now, TrackedServer s) {
        boolean stuck =
                choice.policy().isEnabled(Mechanism.STUCK) && s.oldestPrefillWaitMs(now) > PREFILL.stalledAfterMs();
        return (stuck ? PREFILL.stalledPenaltyMs() * PREFILL.tokensPerMs() : 0)
                + s.tokensInFlight()
                + DECODE.requestTokens() * s.inFlight();
    }

    private TrackedServer home(double now, List<TrackedServer> servers, PromptPrefix prefix) {
        String subject = prefix.affinityKey();
        return subject == null || !choice.policy().isEnabled(Mechanism.HOMES)
                ? null
                : PrefixAffinity.ownerOf(subject, choice.eligibleServers(now, servers));
    }
}
