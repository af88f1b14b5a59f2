package dewplank.controlplane;

import dewplank.exchange.ConnectionPool;
import dewplank.exchange.HttpCall;
import dewplank.http.Headers;
import dewplank.http.MessageWriter;
import dewplank.message.Endpoint;
import dewplank.net.EventLoop;
import dewplank.net.Wheel;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;

/** Calls to model servers over HTTP, on connections that are kept for a while. */
final class HttpModelServerClient implements ModelServerClient {
    private static final double CALL_TIMEOUT_MS = 600;
    private static final double CONNECT_TIMEOUT_MS = 300;
    /** Whoever else has the address by now answers 421, and neither reports for it nor takes its orders. */
    private static final String TARGET_INSTANCE = "X-Dewplank-Target-Instance";

    private static final double MOST_IDLE_MS = 5_000;

    private final EventLoop loop;
    private final Map<String, ConnectionPool> pools = new HashMap<>();

    HttpModelServerClient(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public void report(Endpoint server, BooleanSupplier onlyIf, Answer answer) {
        ByteBuffer message = MessageWriter.request("GET", "/report", server.address)
                .header(TARGET_INSTANCE, server.instanceId)
                .noBody();
        start(call(server, message, onlyIf, answer));
    }

    @Override
    public void order(Endpoint server, byte[] body, BooleanSupplier onlyIf, Answer answer) {
        ByteBuffer message = MessageWriter.request("POST", "/order", server.address)
                .header("Content-Type", "application/json")
                .header(TARGET_INSTANCE, server.instanceId)
                .body(body);
        Call call = call(server, message, onlyIf, answer);
        call.http().alone(); // nothing in an answer tells a late one to a report from one to an order
        start(call);
    }

    @Override
    public void keep(Collection<String> addresses) {
        pools.keySet().retainAll(addresses);
    }

    /** A call that has not begun. */
    private record Call(HttpCall http, WholeAnswer answer) {}

    private Call call(Endpoint server, ByteBuffer message, BooleanSupplier onlyIf, Answer answer) {
        InetSocketAddress to = SocketAddresses.socketAddress(server.address);
        ConnectionPool pool = pools.computeIfAbsent(server.address, a -> new ConnectionPool(loop, 0, MOST_IDLE_MS));
        WholeAnswer whole = new WholeAnswer(answer);
        return new Call(new HttpCall(loop, to, pool, message, whole).onlyIf(onlyIf), whole);
    }

    private void start(Call call) {
        call.answer().timeout = loop.after(CALL_TIMEOUT_MS, call.http()::cancel);
        call.http().start(CONNECT_TIMEOUT_MS);
    }

    private static final class WholeAnswer implements HttpCall.Listener {
        private final Answer then;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private Wheel.Timer timeout;
        private int status;

        WholeAnswer(Answer then) {
            this.then = then;
        }

        @Override
        public boolean head(int answerStatus, Headers headers) {
            status = answerStatus;
            return true;
        }

        @Override
        public void body(byte[] piece) {
            body.writeBytes(piece);
        }

        @Override
        public void complete() {
            timeout.cancel();
            then.taken(status, body.toByteArray());
        }

        @Override
        public void failed(HttpCall.Failure failure) {
            timeout.cancel();
        }
    }
}
