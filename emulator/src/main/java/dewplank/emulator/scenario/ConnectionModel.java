package dewplank.emulator.scenario;

/**
 * Connections from sidecars to servers.
 *
 * @param handshakeMs duration of a handshake, beside the network's delays
 * @param handshakeWork work of a handshake at the server
 * @param idleMs after which a server closes an idle connection
 * @param closeIsNoticed whether the sidecar learns of that close
 * @param maxConnections of a server; 0 for no bound
 * @param fullTableSlowdown fraction of its speed that a server with a full connection table loses
 * @param connectTimeoutMs 0 for none
 */
public record ConnectionModel(
        double handshakeMs,
        double handshakeWork,
        double idleMs,
        boolean closeIsNoticed,
        int maxConnections,
        double fullTableSlowdown,
        double connectTimeoutMs) {}
