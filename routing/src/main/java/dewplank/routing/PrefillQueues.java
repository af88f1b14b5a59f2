package dewplank.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Which prefill servers a prompt may go to: a few are kept for short prompts where there are many of them. */
public final class PrefillQueues {
    private static final RoutingParameters.PromptSplit SPLIT = RoutingParameters.DEFAULTS.promptSplit();

    private final PromptLengthEstimator sizes = new PromptLengthEstimator();

    /** A prompt of so many tokens came. */
    public void recordPrompt(long tokens) {
        sizes.recordPrompt(tokens);
    }

    /**
     * The servers for a prompt.
     *
     * @param servers all that prefill
     * @param tokens of the prompt
     */
    public List<TrackedServer> serversFor(List<TrackedServer> servers, long tokens) {
        List<TrackedServer> ready = new ArrayList<>(servers);
        ready.removeIf(s -> !s.isReady());
        int kept = (int) Math.round(SPLIT.shortHeadroom() * sizes.shortTokenFraction() * ready.size());
        if (kept < SPLIT.minServers() || ready.size() - kept < SPLIT.minServers()) {
            return servers;
        }
        ready.sort(Comparator.comparingLong(PrefillQueues::rank)); // alike at all data planes, and stable
        return sizes.isShort(tokens) ? ready.subList(0, kept) : ready.subList(kept, ready.size());
    }

    private static long rank(TrackedServer s) {
        return PrefixAffinity.mix(s.instanceId().hashCode());
    }
}
