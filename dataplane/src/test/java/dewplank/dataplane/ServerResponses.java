package dewplank.dataplane;

import dewplank.exchange.ScriptedServer.Call;
import java.io.IOException;

/** The responses of the scripted servers. */
final class ServerResponses {
    static final String SEAL = "X-Dewplank-Server-Seal: s.1\r\n";
    static final String NOT_EXECUTED = "X-Dewplank-Not-Executed: 1\r\n";

    /**
     * Without this field the data plane assumes that connections are kept open for 1 s, which a slow machine can
     * exceed.
     */
    private static final String KEEP_ALIVE = "Keep-Alive: timeout=60\r\n";

    private ServerResponses() {}

    /** The server responds with its seal and the request's attempt id. */
    static void serve(Call call, String body) throws IOException {
        respond(call, "200 OK", SEAL + KEEP_ALIVE, body);
    }

    /** The server responds with the request's attempt id. */
    static void respond(Call call, String status, String fields, String body) throws IOException {
        call.peer().respond(status, idOf(call) + fields, body);
    }

    /** The head of a response with the server's seal and the request's attempt id, followed by these fields. */
    static String sealedHead(Call call, String fields) {
        return "HTTP/1.1 200 OK\r\n" + idOf(call) + SEAL + fields + "\r\n";
    }

    /** The header field with the request's attempt id; empty if the request has none. */
    static String idOf(Call call) {
        String id = CallFields.attemptId(call);
        return id == null ? "" : "X-Dewplank-Request-Attempt-Id: " + id + "\r\n";
    }

    /** The server rejects the request because it is full. */
    static void reject(Call call) throws IOException {
        respond(call, "503 Service Unavailable", NOT_EXECUTED, "");
    }

    /** A prefill server responds with the handle of its KV cache. */
    static void respondWithKvHandle(Call prefill, String handle) throws IOException {
        respond(
                prefill,
                "200 OK",
                KEEP_ALIVE + "Content-Type: application/json\r\n",
                "{\"context_handle\":\"" + handle + "\",\"token_count\":60,\"config_version\":1}");
    }

    /** A decode server starts its stream. */
    static void beginStream(Call decode) throws IOException {
        decode.peer()
                .send(sealedHead(
                        decode, KEEP_ALIVE + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
    }

    /** A decode server sends a stream of one event. */
    static void sendStream(Call decode, int eventId) throws IOException {
        beginStream(decode);
        decode.peer().chunk(event(eventId));
        decode.peer().lastChunk();
    }

    static String event(int id) {
        return "id: " + id + "\ndata: t" + id + "\n\n";
    }
}
