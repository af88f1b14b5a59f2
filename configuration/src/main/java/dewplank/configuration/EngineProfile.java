package dewplank.configuration;

import java.util.List;

/**
 * What a service's model servers can do, as the operator states it. Immutable.
 *
 * @param slotCount requests that run in one batch
 * @param kvTokens tokens that fit into a server's KV cache
 * @param kvTokenBytes bytes that one token of the KV cache takes on a link
 * @param linkMbps rate of the link over which KV caches move, in Mbit/s
 * @param maxTokensPerEvent tokens that one event of a stream may contain
 * @param cacheRetentionMs how long a prefill server retains a KV cache until it is fetched
 * @param stageChangeMs how long a change of stage takes
 * @param models names of the models that the servers offer
 */
public record EngineProfile(
        int slotCount,
        long kvTokens,
        long kvTokenBytes,
        double linkMbps,
        int maxTokensPerEvent,
        double cacheRetentionMs,
        double stageChangeMs,
        List<String> models) {
    /** Takes a copy of the models. */
    public EngineProfile {
        models = List.copyOf(models);
    }
}
