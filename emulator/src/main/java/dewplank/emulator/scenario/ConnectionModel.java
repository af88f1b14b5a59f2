package dewplank.emulator.scenario;

/**
 * Properties of connections from sidecars to servers.
 *
 * @param handshakeMs duration of a handshake, in addition to the network delays
 * @param handshakeWork work of a handshake at the server
 * @param idleMs time after which a server closes an idle connection
 * @param detectsServerClose whether the sidecar detects that the server closed an idle connection
 * @param maxConnections maximum number of connections of a server; 0 for no limit
 * @param fullTableSlowdown fraction of its speed that a server loses when its connection table is full
 * @param connectTimeoutMs timeout of a connection attempt; 0 for none
 */
public record ConnectionModel(
        double handshakeMs,
        double handshakeWork,
        double idleMs,
        boolean detectsServerClose,
        int maxConnections,
        double fullTableSlowdown,
        double connectTimeoutMs) {}
