package dewplank.emulator.virtualtime;

import dewplank.emulator.EmulatedEnvironment;
import dewplank.emulator.Server;
import dewplank.emulator.scenario.ConnectionModel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** A sidecar's idle connections by server, used in last-in, first-out order. Confined to the scheduler thread. */
final class ConnectionPool {
    /** An idle connection to one incarnation of a server's process. */
    record IdleConnection(int serverIncarnation, double sinceMs) {}

    private final EmulatedEnvironment environment;
    private final Map<Integer, Deque<IdleConnection>> idle = new HashMap<>();

    ConnectionPool(EmulatedEnvironment environment) {
        this.environment = environment;
    }

    /** Takes an idle connection, and discards those whose close the sidecar has detected. */
    Optional<IdleConnection> take(Server server) {
        Deque<IdleConnection> connections = idle.getOrDefault(server.number(), new ArrayDeque<>());
        while (!connections.isEmpty()) {
            IdleConnection last = connections.removeLast();
            if (!closeWasDetected(last, server)) {
                return Optional.of(last);
            }
            server.disconnect(last.serverIncarnation());
        }
        return Optional.empty();
    }

    private boolean closeWasDetected(IdleConnection connection, Server server) {
        ConnectionModel model = environment.scenario().connections();
        boolean processEnded = connection.serverIncarnation() != server.incarnation()
                && !server.hasVanished(connection.serverIncarnation());
        return processEnded || model.detectsServerClose() && environment.now() - connection.sinceMs() >= model.idleMs();
    }

    /** Whether the server has closed the connection, detected by the sidecar or not. */
    boolean isStale(IdleConnection connection, Server server) {
        return connection.serverIncarnation() != server.incarnation()
                || environment.now() - connection.sinceMs()
                        >= environment.scenario().connections().idleMs();
    }

    /** Returns a connection to the server's current process. */
    void putBack(Server server) {
        idle.computeIfAbsent(server.number(), any -> new ArrayDeque<>())
                .addLast(new IdleConnection(server.incarnation(), environment.now()));
    }

    /** Closes the idle connections to a server. */
    void close(Server server) {
        Deque<IdleConnection> connections = idle.remove(server.number());
        if (connections != null) {
            connections.forEach(connection -> server.disconnect(connection.serverIncarnation()));
        }
    }

    /** Closes all idle connections. */
    void closeAll() {
        idle.forEach((server, connections) -> connections.forEach(
                connection -> environment.servers().get(server).disconnect(connection.serverIncarnation())));
        idle.clear();
    }

    /** Number of idle connections to all servers. */
    int size() {
        return idle.values().stream().mapToInt(Deque::size).sum();
    }
}
