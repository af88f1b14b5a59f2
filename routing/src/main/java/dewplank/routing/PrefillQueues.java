package dewplank.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Which prefill servers a prompt may go to: a few are kept for short prompts where there are many of them. */
public final class PrefillQueues {
    /** A lane of fewer servers would lose more to its own ups and downs than short prompts gain by it. */
    private static final int LEAST_SERVERS = 4;
    /** Short prompts get so much more of the servers than they bring of the tokens: they are the ones in a hurry. */
    private static final double HEADROOM = 1.25;

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
        int kept = (int) Math.round(HEADROOM * sizes.shortTokenFraction() * ready.size());
        if (kept < LEAST_SERVERS || ready.size() - kept < LEAST_SERVERS) {
            return servers;
        }
        ready.sort(Comparator.comparingLong(PrefillQueues::rank)); // alike at all data planes, and stable
        return sizes.isShort(tokens) ? ready.subList(0, kept) : ready.subList(kept, ready.size());
    }

    private static long rank(TrackedServer s) {
        return PrefixAffinity.mix(s.instanceId().hashCode());
    }
}
