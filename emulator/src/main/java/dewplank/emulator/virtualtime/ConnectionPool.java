package dewplank.emulator.virtualtime;

import dewplank.emulator.Server;
import dewplank.emulator.World;
import dewplank.emulator.scenario.ConnectionModel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** A sidecar's idle connections, by server; the last one returned is used first. On the world's thread. */
final class ConnectionPool {
    /** A connection to one incarnation of a server's process that carries no request. */
    record IdleConnection(int serverIncarnation, double sinceMs) {}

    private final World world;
    private final Map<Integer, Deque<IdleConnection>> idle = new HashMap<>();

    ConnectionPool(World world) {
        this.world = world;
    }

    /** Takes an idle connection, and drops those whose end the sidecar has noticed. */
    Optional<IdleConnection> take(Server server) {
        Deque<IdleConnection> connections = idle.getOrDefault(server.number(), new ArrayDeque<>());
        while (!connections.isEmpty()) {
            IdleConnection last = connections.removeLast();
            if (!endWasNoticed(last, server)) {
                return Optional.of(last);
            }
            server.disconnect(last.serverIncarnation());
        }
        return Optional.empty();
    }

    private boolean endWasNoticed(IdleConnection connection, Server server) {
        ConnectionModel model = world.scenario().connections();
        boolean processEnded = connection.serverIncarnation() != server.incarnation()
                && !server.vanishedIn(connection.serverIncarnation());
        return processEnded || model.closeIsNoticed() && world.now() - connection.sinceMs() >= model.idleMs();
    }

    /** Whether the server has ended the connection, noticed or not. */
    boolean isStale(IdleConnection connection, Server server) {
        return connection.serverIncarnation() != server.incarnation()
                || world.now() - connection.sinceMs()
                        >= world.scenario().connections().idleMs();
    }

    /** Returns a connection to the process that the server runs now. */
    void putBack(Server server) {
        idle.computeIfAbsent(server.number(), any -> new ArrayDeque<>())
                .addLast(new IdleConnection(server.incarnation(), world.now()));
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
                connection -> world.servers().get(server).disconnect(connection.serverIncarnation())));
        idle.clear();
    }

    /** Idle connections, to all servers. */
    int size() {
        return idle.values().stream().mapToInt(Deque::size).sum();
    }
}
