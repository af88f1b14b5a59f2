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

/** A control sidecar on loopback that gives the answers it was told to, in order, and keeps what it was asked. */
final class StandInControl implements AutoCloseable {
    /** A call as it came. */
    record Call(String method, String path, String ifMatch, String body) {}

    private record Scripted(int status, String body, String location) {}

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final CountDownLatch closed = new CountDownLatch(1);
    private final HttpServer server;
    private final Deque<Scripted> script = new ArrayDeque<>();
    private final List<Call> calls = new ArrayList<>();

    StandInControl() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** The next answer. */
    synchronized StandInControl then(int status, String body) {
        script.add(new Scripted(status, body, null));
        return this;
    }

    /** The next call is sent on. */
    synchronized StandInControl thenRedirect(String location) {
        script.add(new Scripted(307, "", location));
        return this;
    }

    /** What was asked so far. */
    synchronized List<Call> calls() {
        return List.copyOf(calls);
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Scripted answer = next(new Call(
                exchange.getRequestMethod(),
                exchange.getRequestURI().toString(),
                exchange.getRequestHeaders().getFirst("If-Match"),
                body));
        if (answer == null) { // the script is over: silence
            awaitClose();
            return;
        }
        if (answer.location() != null) {
            exchange.getResponseHeaders().set("Location", answer.location());
        }
        byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private synchronized Scripted next(Call call) {
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
