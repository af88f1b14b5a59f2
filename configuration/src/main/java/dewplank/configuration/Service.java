package dewplank.configuration;

/**
 * A service of a configuration.
 *
 * @param name its name
 * @param healthPath the path that answers whether a server considers itself healthy
 * @param maxConnections connections that one of its servers accepts from all callers together
 * @param protocol the protocol its servers speak
 * @param tls whether its servers expect TLS
 * @param engine the model servers' figures; null for a plain service
 */
public record Service(
        String name, String healthPath, int maxConnections, String protocol, boolean tls, EngineProfile engine) {}
