package dewplank.configuration;

/**
 * A service of a configuration. Immutable.
 *
 * @param name its name, unique among services
 * @param healthPath the path at which a server reports whether it is healthy
 * @param maxConnections connections that each of its servers accepts from all data planes together
 * @param protocol the protocol that its servers speak
 * @param tls whether its servers expect TLS
 * @param engine the capabilities of its model servers; null for a plain service
 */
public record Service(
        String name, String healthPath, int maxConnections, String protocol, boolean tls, EngineProfile engine) {}
