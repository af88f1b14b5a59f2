package dewplank.emulator.fleet;

import java.util.Optional;

/**
 * What a client asks for. {@code events}: how long a stream is wanted, in events; {@code prompt}: the parts of a
 * generation's prompt, null: none are named.
 */
public record ClientRequest(
        RouteSpec route,
        String method,
        String target,
        String body,
        int events,
        Optional<String> prompt,
        int timeoutMs) {
    private static final int TIMEOUT_MS = 8_000;

    /** A request that is answered whole. */
    public static ClientRequest plain(RouteSpec route, String name) {
        return new ClientRequest(
                route, "POST", route.prefix() + name, "body of " + name, 0, Optional.empty(), TIMEOUT_MS);
    }

    /** A generation whose prompt has a part of its own: it is read by a prefill server first. */
    public static ClientRequest split(RouteSpec route, String name, int events) {
        return new ClientRequest(
                route,
                "POST",
                route.prefix() + name,
                "prompt of " + name,
                events,
                Optional.of("5c1e07a2:800,e4402b7d:250"),
                TIMEOUT_MS);
    }

    /** A generation that names no parts: the decode server reads its prompt. */
    public static ClientRequest direct(RouteSpec route, String name, int events) {
        return new ClientRequest(
                route, "POST", route.prefix() + name, "prompt of " + name, events, Optional.empty(), TIMEOUT_MS);
    }

    /** The same with another time that the client waits. */
    public ClientRequest withTimeout(int nextTimeoutMs) {
        return new ClientRequest(route, method, target, body, events, prompt, nextTimeoutMs);
    }
}
