package dewplank.emulator.fleet;

import java.util.Optional;

/**
 * A request that a client sends in one or more attempts.
 *
 * @param events the number of events of a stream; 0 for a plain request
 * @param prompt the parts of a generation's prompt with their token counts; empty where none are named
 * @param timeoutMs how long the client waits for the response's end
 * @param accessKey the key of the client's tenant; empty where it sends none
 */
public record ClientRequest(
        RouteSpec route,
        String method,
        String target,
        String body,
        int events,
        Optional<String> prompt,
        int timeoutMs,
        Optional<String> accessKey) {
    private static final int TIMEOUT_MS = 8_000;

    /** A request whose response is not a stream. */
    public static ClientRequest plain(RouteSpec route, String name) {
        return new ClientRequest(
                route,
                "POST",
                route.prefix() + name,
                "body of " + name,
                0,
                Optional.empty(),
                TIMEOUT_MS,
                Optional.empty());
    }

    /** A generation that names the parts of its prompt, so that a prefill server reads it first. */
    public static ClientRequest split(RouteSpec route, String name, int events) {
        return new ClientRequest(
                route,
                "POST",
                route.prefix() + name,
                "prompt of " + name,
                events,
                Optional.of("5c1e07a2:800,e4402b7d:250"),
                TIMEOUT_MS,
                Optional.empty());
    }

    /** A generation that names no parts, so that the decode server reads its prompt. */
    public static ClientRequest direct(RouteSpec route, String name, int events) {
        return new ClientRequest(
                route,
                "POST",
                route.prefix() + name,
                "prompt of " + name,
                events,
                Optional.empty(),
                TIMEOUT_MS,
                Optional.empty());
    }

    /** The same request with another time-out. */
    public ClientRequest withTimeout(int nextTimeoutMs) {
        return new ClientRequest(route, method, target, body, events, prompt, nextTimeoutMs, accessKey);
    }

    /** The same request by a client that sends this access key. */
    public ClientRequest withAccessKey(String key) {
        return new ClientRequest(route, method, target, body, events, prompt, timeoutMs, Optional.of(key));
    }
}
