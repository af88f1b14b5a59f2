package dewplank.configuration;

import java.util.List;

/**
 * The capabilities of a service's model servers, as configured by the operator. Immutable.
 *
 * @param slotCount requests that run in one batch
 * @param kvTokens tokens that fit into a server's KV cache
 * @param kvTokenBytes bytes per token when a KV cache is transferred
 * @param linkMbps rate of the link over which KV caches are transferred, in Mbit/s
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
    /** Copies the list of models. */
    public EngineProfile {
        models = List.copyOf(models);
    }
}
