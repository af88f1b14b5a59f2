package dewplank.configuration;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Looks up routes by host and longest path prefix. Immutable once it is built, so any thread may use it; the data plane
 * builds one table for each configuration and looks up each request in it.
 */
public final class RouteTable {
    /** A node of the tree of path segments; it has a route if a path prefix ends at it. */
    private static final class Node {
        private Map<String, Node> children = Map.of();
        private Route route;

        private Node child(String segment) {
            if (children.isEmpty()) {
                children = new HashMap<>();
            }
            return getOrCreate(children, segment);
        }
    }

    private final Map<String, Node> hosts = new HashMap<>();

    /**
     * Builds the table of a configuration's routes.
     *
     * @param configuration the configuration
     */
    public RouteTable(Configuration configuration) {
        for (Route route : configuration.routes()) {
            add(route);
        }
    }

    private static Node getOrCreate(Map<String, Node> nodes, String key) {
        Node node = nodes.get(key);
        if (node == null) {
            node = new Node();
            nodes.put(key, node);
        }
        return node;
    }

    private void add(Route route) {
        Node node = getOrCreate(hosts, route.host());
        String prefix = route.pathPrefix();
        int start = 1;
        int slash = prefix.indexOf('/', start);
        while (slash >= 0) {
            node = node.child(prefix.substring(start, slash));
            start = slash + 1;
            slash = prefix.indexOf('/', start);
        }
        node.route = route;
    }

    /**
     * Finds the route of a request.
     *
     * @param hostHeader the request's Host header, in upper or lower case, with or without a port
     * @param target its path, with or without a query
     * @return the route, or null if there is none
     */
    public Route find(String hostHeader, String target) {
        if (hostHeader == null || target == null || !target.startsWith("/")) {
            return null;
        }
        Node node = hosts.get(normalizedHost(hostHeader));
        return node == null ? null : longestMatch(node, target);
    }

    private static Route longestMatch(Node host, String target) {
        int query = target.indexOf('?');
        int end = query < 0 ? target.length() : query;
        Node node = host;
        Route found = node.route;
        int start = 1;
        int slash = target.indexOf('/', start);
        while (slash >= 0 && slash < end) {
            node = node.children.get(target.substring(start, slash));
            if (node == null) {
                return found;
            }
            found = node.route == null ? found : node.route;
            start = slash + 1;
            slash = target.indexOf('/', start);
        }
        return found;
    }

    private static String normalizedHost(String header) {
        String host = header.trim().toLowerCase(Locale.ROOT);
        int colon = host.lastIndexOf(':');
        boolean withinBrackets = colon < host.lastIndexOf(']');
        return colon < 0 || withinBrackets ? host : host.substring(0, colon);
    }
}
