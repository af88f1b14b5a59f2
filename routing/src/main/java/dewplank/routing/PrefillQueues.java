package dewplank.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Splits prefill servers between short and long prompts where there are many, so that short ones don't wait behind long
 * ones: size interval task assignment (Crovella, Harchol-Balter and Murta, 1998). Owned and called by
 * {@link PrefillDecodePicker}, on the event loop. Pure but for the lengths that it learns.
 */
public final class PrefillQueues {
    private static final RoutingParameters.PromptSplit SPLIT = RoutingParameters.DEFAULTS.promptSplit();

    private final PromptLengthEstimator lengths = new PromptLengthEstimator();

    /** A prompt of so many tokens arrived. */
    public void recordPrompt(long tokens) {
        lengths.recordPrompt(tokens);
    }

    /**
     * The servers among which a prompt's is picked: all of them while either side would be too small.
     *
     * @param servers all that prefill for the service
     * @param tokens of the prompt
     */
    public List<TrackedServer> serversFor(List<TrackedServer> servers, long tokens) {
        List<TrackedServer> ready = new ArrayList<>(servers);
        ready.removeIf(server -> !server.isReady());
        int reserved = (int) Math.round(SPLIT.shortHeadroom() * lengths.shortTokenFraction() * ready.size());
        if (reserved < SPLIT.minServers() || ready.size() - reserved < SPLIT.minServers()) {
            return servers;
        }
        ready.sort(Comparator.comparingLong(PrefillQueues::rank)); // alike at all data planes, and stable
        return lengths.isShort(tokens) ? ready.subList(0, reserved) : ready.subList(reserved, ready.size());
    }

    private static long rank(TrackedServer server) {
        return PrefixAffinity.mix(server.instanceId().hashCode());
    }
}
