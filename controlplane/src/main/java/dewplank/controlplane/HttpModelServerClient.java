package dewplank.controlplane;

import dewplank.exchange.ConnectionPool;
import dewplank.exchange.HttpCall;
import dewplank.http.Headers;
import dewplank.http.MessageWriter;
import dewplank.message.Endpoint;
import dewplank.net.EventLoop;
import dewplank.net.TimerWheel;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;

/** Sends requests to model servers over HTTP, on pooled connections. Must be used on the loop's thread only. */
final class HttpModelServerClient implements ModelServerClient {
    private static final double CALL_TIMEOUT_MS = 600;
    private static final double CONNECT_TIMEOUT_MS = 300;
    /**
     * Name of the header that contains the instance id of the target server. If another instance has the address
     * meanwhile, it responds with 421, and neither sends a report nor executes the order.
     */
    private static final String TARGET_INSTANCE = "X-Dewplank-Target-Instance";

    private static final double MAX_IDLE_MS = 5_000;
    private static final int MAX_RESPONSE_BYTES = 256 * 1024;

    private final EventLoop loop;
    private final Map<String, ConnectionPool> pools = new HashMap<>();

    HttpModelServerClient(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public void requestReport(Endpoint server, BooleanSupplier onlyIf, ResponseHandler handler) {
        ByteBuffer message = MessageWriter.request("GET", "/report", server.address)
                .header(TARGET_INSTANCE, server.instanceId)
                .noBody();
        start(call(server, message, onlyIf, handler));
    }

    @Override
    public void sendOrder(Endpoint server, byte[] body, BooleanSupplier onlyIf, ResponseHandler handler) {
        ByteBuffer message = MessageWriter.request("POST", "/order", server.address)
                .header("Content-Type", "application/json")
                .header(TARGET_INSTANCE, server.instanceId)
                .body(body);
        Call call = call(server, message, onlyIf, handler);
        // a late response to a report request can't be distinguished from the response to an order
        call.http().useDedicatedConnection();
        start(call);
    }

    @Override
    public void retainOnly(Collection<String> addresses) {
        pools.keySet().retainAll(addresses);
    }

    /** A call that has not been started. */
    private record Call(HttpCall http, ResponseCollector response) {}

    private Call call(Endpoint server, ByteBuffer message, BooleanSupplier onlyIf, ResponseHandler handler) {
        InetSocketAddress to = SocketAddresses.parse(server.address);
        ConnectionPool pool = pools.computeIfAbsent(server.address, a -> new ConnectionPool(loop, 0, MAX_IDLE_MS));
        ResponseCollector response = new ResponseCollector(handler);
        HttpCall http = new HttpCall(loop, to, pool, message, response)
                .sendOnlyIf(onlyIf)
                .collectBody(MAX_RESPONSE_BYTES);
        return new Call(http, response);
    }

    private void start(Call call) {
        call.response().timeout = loop.after(CALL_TIMEOUT_MS, call.http()::cancel);
        call.http().start(CONNECT_TIMEOUT_MS);
    }

    private static final class ResponseCollector implements HttpCall.Listener {
        private final ResponseHandler handler;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private TimerWheel.Timer timeout;
        private int status;

        ResponseCollector(ResponseHandler handler) {
            this.handler = handler;
        }

        @Override
        public boolean head(int responseStatus, Headers headers) {
            status = responseStatus;
            return true;
        }

        @Override
        public void body(byte[] chunk) {
            body.writeBytes(chunk);
        }

        @Override
        public void complete() {
            timeout.cancel();
            handler.responded(status, body.toByteArray());
        }

        @Override
        public void failed(HttpCall.Failure failure) {
            timeout.cancel();
        }
    }
}
