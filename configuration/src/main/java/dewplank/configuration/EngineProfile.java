package dewplank.configuration;

import java.util.List;

/**
 * Figures of a service's model servers.
 *
 * @param slotCount requests that run in one batch
 * @param kvTokens tokens that a server's cache holds
 * @param kvTokenBytes bytes that one token of the cache takes on a link
 * @param linkMbps the link over which caches move
 * @param maxTokensPerEvent tokens that one event of a stream may hold
 * @param cacheRetentionMs how long a cache that was read ahead is held
 * @param stageChangeMs how long a change of stage takes
 * @param models names of the models that it serves
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
