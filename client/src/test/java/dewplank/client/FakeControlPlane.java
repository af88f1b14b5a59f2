package dewplank.client;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A control plane on loopback that records calls and sends scripted responses; later calls get no response. */
final class FakeControlPlane implements AutoCloseable {
    /** A received call. */
    record Call(String method, String path, String ifMatch, String body) {}

    private record ScriptedResponse(int status, String body, String location) {}

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final CountDownLatch closed = new CountDownLatch(1);
    private final HttpServer server;
    private final Deque<ScriptedResponse> script = new ArrayDeque<>();
    private final List<Call> calls = new ArrayList<>();

    FakeControlPlane() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Adds a response to the script. */
    synchronized FakeControlPlane addResponse(int status, String body) {
        script.add(new ScriptedResponse(status, body, null));
        return this;
    }

    /** Adds a redirect to the script. */
    synchronized FakeControlPlane addRedirect(String location) {
        script.add(new ScriptedResponse(307, "", location));
        return this;
    }

    /** Returns the calls so far. */
    synchronized List<Call> calls() {
        return List.copyOf(calls);
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        ScriptedResponse response = next(new Call(
                exchange.getRequestMethod(),
                exchange.getRequestURI().toString(),
                exchange.getRequestHeaders().getFirst("If-Match"),
                body));
        if (response == null) { // the script has ended, so the call gets no response
            awaitClose();
            return;
        }
        if (response.location() != null) {
            exchange.getResponseHeaders().set("Location", response.location());
        }
        byte[] bytes = response.body().getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(response.status(), bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private synchronized ScriptedResponse next(Call call) {
        calls.add(call);
        return script.poll();
    }

    private void awaitClose() {
        try {
            closed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        closed.countDown();
        server.stop(0);
        threads.shutdownNow();
    }
}
