package dewplank.emulator.fleet;

import java.util.Optional;

/**
 * A request that a client sends in one or more attempts.
 *
 * @param events the number of events in a stream; 0 for a plain request
 * @param prompt the parts of a generation's prompt with their token counts; empty if the request names none
 * @param timeoutMs how long the client waits for the end of the response
 * @param accessKey the access key of the client's tenant; empty if the client sends none
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

    /** Creates a request whose response is not a stream. */
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

    /** Creates a generation that names the parts of its prompt, so that a prefill server processes the prompt first. */
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

    /** Creates a generation without named parts of its prompt, so that the decode server processes the prompt. */
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

    /** Returns a copy with another timeout. */
    public ClientRequest withTimeout(int nextTimeoutMs) {
        return new ClientRequest(route, method, target, body, events, prompt, nextTimeoutMs, accessKey);
    }

    /** Returns a copy with the given access key. */
    public ClientRequest withAccessKey(String key) {
        return new ClientRequest(route, method, target, body, events, prompt, timeoutMs, Optional.of(key));
    }
}
