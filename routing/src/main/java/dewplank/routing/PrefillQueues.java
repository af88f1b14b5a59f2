package dewplank.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Splits the prefill servers between short and long prompts if there are enough servers, so that short prompts don't
 * wait behind long ones. This is size interval task assignment (Crovella, Harchol-Balter and Murta, 1998). Owned and
 * called by {@link PrefillDecodePicker}, on the event loop. Its only state is the estimate of prompt lengths.
 */
public final class PrefillQueues {
    private static final RoutingParameters.PromptSplit SPLIT = RoutingParameters.DEFAULTS.promptSplit();

    private final PromptLengthEstimator lengths = new PromptLengthEstimator();

    /** Records the arrival of a prompt with this number of tokens. */
    public void recordPrompt(long tokens) {
        lengths.recordPrompt(tokens);
    }

    /**
     * The servers from which to pick for a prompt; all servers while either side of the split would be too small.
     *
     * @param servers all prefill servers of the service
     * @param tokens the length of the prompt
     */
    public List<TrackedServer> serversFor(List<TrackedServer> servers, long tokens) {
        List<TrackedServer> ready = new ArrayList<>(servers);
        ready.removeIf(server -> !server.isReady());
        int reserved = (int) Math.round(SPLIT.shortServerRatio() * lengths.shortTokenFraction() * ready.size());
        if (reserved < SPLIT.minServers() || ready.size() - reserved < SPLIT.minServers()) {
            return servers;
        }
        ready.sort(
                Comparator.comparingLong(PrefillQueues::rank)); // the order is stable and the same at all data planes
        return lengths.isShort(tokens) ? ready.subList(0, reserved) : ready.subList(reserved, ready.size());
    }

    private static long rank(TrackedServer server) {
        return PrefixAffinity.mix(server.instanceId().hashCode());
    }
}
