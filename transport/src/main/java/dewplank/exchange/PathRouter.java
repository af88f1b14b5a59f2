package dewplank.exchange;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds the handler for a method and path: a trie with a node per path segment. Not modified after it is built.
 *
 * @param <H> the handler type
 */
public final class PathRouter<H> {
    private final Map<String, PathRouter<H>> children = new LinkedHashMap<>();
    private final Map<String, H> methods = new LinkedHashMap<>();
    private PathRouter<H> wildcard;

    /** A result: the handler, or null if there is none; the segments matched by {@code *}; the methods of the path. */
    public record Match<H>(H handler, List<String> parameters, Set<String> methods) {
        /** Whether any method is registered for the path. */
        public boolean pathExists() {
            return !methods.isEmpty();
        }
    }

    /** Returns the child node for a segment, created if needed; {@code *} matches any segment. */
    public PathRouter<H> path(String segment) {
        if (segment.equals("*")) {
            wildcard = wildcard == null ? new PathRouter<>() : wildcard;
            return wildcard;
        }
        return children.computeIfAbsent(segment, s -> new PathRouter<>());
    }

    /** Sets the handler of a method at this node. */
    public PathRouter<H> on(String method, H handler) {
        methods.put(method, handler);
        return this;
    }

    /** Finds the handler for a request target; its query is ignored. */
    public Match<H> find(String method, String target) {
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        PathRouter<H> node = this;
        List<String> parameters = new ArrayList<>();
        for (String segment : path.split("/")) {
            if (segment.isEmpty()) {
                continue;
            }
            PathRouter<H> next = node.children.get(segment);
            if (next == null) {
                next = node.wildcard;
                parameters.add(segment);
            }
            if (next == null) {
                return new Match<>(null, List.of(), Set.of());
            }
            node = next;
        }
        return new Match<>(node.methods.get(method), parameters, node.methods.keySet());
    }
}
