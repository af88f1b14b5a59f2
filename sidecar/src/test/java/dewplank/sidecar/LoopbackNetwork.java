package dewplank.sidecar;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import dewplank.balancer.Balancer;
import dewplank.balancer.Settings;
import dewplank.balancer.adaptive.AdaptiveBalancer;
import dewplank.exchange.ConnectionPool;
import dewplank.settings.Fields;
import dewplank.settings.Json;
import dewplank.sidecar.config.BalancerSettingsReader;
import dewplank.sidecar.config.SidecarConfig;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.FutureTask;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;

/**
 * A sidecar with scripted clients, servers and discovery, all on loopback. Tests wait for messages and events instead
 * of fixed times.
 */
final class LoopbackNetwork implements Closeable {
    /** Only a failing test waits this long. */
    private static final int TIMEOUT_S = 20;

    static final int MAX_SOCKETS = 256;
    static final String SETTINGS =
            """
        {"Accounts":[],"Az":"a","CountedBy":"request","Classes":[
          {"Deadline":5000,"Idempotency":"read_like","Name":"menu-read","Objective":4000,"Worth":2.0},
          {"Deadline":5000,"Idempotency":"non_idempotent","Name":"order-place","Objective":4000,"Worth":10.0}],
         "Limits":{"Cancelling":true,"ConnectTimeout":2000,"IdleClose":60000,"MayProbe":false,"MaxRetryAfter":2000,
          "Multiplex":1,"Peers":false,"RetryAfter":true,"SecondCopies":false,"SendCap":4},
         "Feedback":{"Names":["rif"],"Via":"answers"},"Me":0,"RegistryMode":"on_request","ReplicasOfMe":1,
         "Safety":{"AskWithin":10000,"Cold":22000,"ColdShare":0.12,"FallMultiple":4,"TipAfter":2000},
         "Tick":5.0,"Weights":"none"}""";

    /** Without a connect timeout, only the timeout of the attempt ends a connect that does not complete. */
    static final UnaryOperator<String> NO_CONNECT_TIMEOUT =
            settings -> settings.replace("\"ConnectTimeout\":2000", "\"ConnectTimeout\":0");

    final List<ScriptedPeer> servers = new ArrayList<>();
    final ScriptedPeer discovery = new ScriptedPeer();
    final SidecarConfig config;
    final Sidecar sidecar;
    private final int sidecarPort; // read at the start, because a closed listener has none

    /** Builds a network with changed settings or with a wrapper around the balancer. */
    static final class Builder {
        private final int serverCount;
        private UnaryOperator<String> settingsChange = UnaryOperator.identity();
        private UnaryOperator<Balancer> wrapper = UnaryOperator.identity();

        private Builder(int serverCount) {
            this.serverCount = serverCount;
        }

        /** Changes the text of {@link #SETTINGS}. */
        Builder settings(UnaryOperator<String> change) {
            settingsChange = change;
            return this;
        }

        Builder balancer(UnaryOperator<Balancer> newWrapper) {
            wrapper = newWrapper;
            return this;
        }

        LoopbackNetwork start() throws IOException {
            return new LoopbackNetwork(this);
        }
    }

    static Builder builder(int serverCount) {
        return new Builder(serverCount);
    }

    LoopbackNetwork(int serverCount) throws IOException {
        this(builder(serverCount));
    }

    private LoopbackNetwork(Builder builder) throws IOException {
        List<String> entries = new ArrayList<>();
        for (int index = 0; index < builder.serverCount; index++) {
            servers.add(new ScriptedPeer());
            entries.add(servers.get(index).endpointJson("s" + index, "active"));
        }
        Fields known = new Fields(Json.object(catalogJson(7, true, entries)), "known ");
        Settings settings = BalancerSettingsReader.read(
                new Fields(Json.object(builder.settingsChange.apply(SETTINGS)), "setting "));
        config = new SidecarConfig(
                "n0",
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                discovery.address(),
                5,
                MAX_SOCKETS,
                known,
                settings,
                null);
        sidecar = new Sidecar(config, builder.wrapper.apply(new AdaptiveBalancer(settings, new SplittableRandom(5))));
        sidecarPort = ((InetSocketAddress) sidecar.address()).getPort();
        sidecar.start();
    }

    static String catalogJson(long version, boolean full, List<String> entries) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", entries) + "]}";
    }

    /** Returns the same configuration with another address of discovery. */
    SidecarConfig withDiscovery(InetSocketAddress discoveryAddress) {
        return new SidecarConfig(
                config.name(),
                config.listen(),
                discoveryAddress,
                config.seed(),
                config.maxSockets(),
                config.initialCatalog(),
                config.settings(),
                config.peers());
    }

    /** Accepts the sidecar's next watch and sends the head of its response. */
    ReceivedRequest beginWatch() throws Exception {
        ReceivedRequest watch = discovery.next();
        watch.beginWatch();
        return watch;
    }

    Client client() throws IOException {
        return new Client(sidecarPort);
    }

    /** Opens as many client connections as may be idle; each has received one response. */
    List<Client> openClientsUpToIdleCapacity() throws IOException {
        int idleCapacity = config.maxClientConnections() / ClientConnections.IDLE_CAPACITY_DIVISOR;
        List<Client> clients = new ArrayList<>();
        while (clients.size() < idleCapacity) {
            Client client = client();
            client.send("GET /_health HTTP/1.1\r\n\r\n");
            String response = client.read();
            ResponseAssertions.assertStatus("200", response);
            assertFalse(response.contains("Connection: close"), response);
            clients.add(client);
        }
        return clients;
    }

    /** Runs a task on the sidecar's event loop and returns its result. */
    <T> T callOnLoop(Callable<T> task) throws Exception {
        FutureTask<T> done = new FutureTask<>(task);
        sidecar.loop().execute(done);
        return done.get();
    }

    void runOnLoop(Runnable task) throws Exception {
        callOnLoop(Executors.callable(task));
    }

    /** Waits until the sidecar has accepted a request. */
    void awaitRequestAccepted() throws Exception {
        long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (callOnLoop(sidecar::openRequestCount) == 0) {
            if (System.nanoTime() > untilNanos) {
                throw new AssertionError("no request was accepted");
            }
            Thread.onSpinWait();
        }
    }

    /** Waits until the server connections that are idle now may be reused. */
    void awaitConnectionReusable() throws Exception {
        CountDownLatch reusable = new CountDownLatch(1);
        runOnLoop(() -> sidecar.loop().after(ConnectionPool.REUSE_DELAY_MS, reusable::countDown));
        reusable.await();
    }

    @Override
    public void close() throws IOException {
        sidecar.stop();
        discovery.close();
        for (ScriptedPeer server : servers) {
            server.close();
        }
    }

    interface Task {
        void run() throws Exception;
    }

    /** Runs a task on a new daemon thread, until the test closes the socket on which the task waits. */
    static Thread background(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // the test has closed the socket
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    /** One side of a connection, which reads complete messages. */
    static class ScriptedConnection {
        final Socket socket;
        private final InputStream in;

        ScriptedConnection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setSoTimeout(TIMEOUT_S * 1000);
            in = socket.getInputStream();
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Returns the head and body of the next message, or null if the other side has closed the connection. */
        String read() throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = in.read();
                if (next < 0) {
                    return null;
                }
                head.append((char) next);
            }
            int lengthAt = head.indexOf("Content-Length: ");
            int length =
                    lengthAt < 0 ? 0 : Integer.parseInt(head.substring(lengthAt + 16, head.indexOf("\r", lengthAt)));
            return head + new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
        }
    }

    /** A client of the sidecar. */
    static final class Client extends ScriptedConnection {
        Client(int port) throws IOException {
            super(new Socket(InetAddress.getLoopbackAddress(), port));
        }

        private static final AtomicLong nextId = new AtomicLong();

        /** Like {@link #read}, but also returns null if the system has reset a connection that was never accepted. */
        String readUnlessReset() throws IOException {
            try {
                return read();
            } catch (SocketException e) {
                if (e.getMessage().startsWith("Connection reset")) {
                    return null;
                }
                throw e;
            }
        }

        /** Requests the sidecar's health until the response has this status. */
        void awaitHealthStatus(String status) throws IOException {
            long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
            String response;
            do {
                if (System.nanoTime() > untilNanos) {
                    throw new AssertionError("/_health never responded with " + status);
                }
                send("GET /_health HTTP/1.1\r\n\r\n");
                response = read();
            } while (!response.startsWith("HTTP/1.1 " + status));
        }

        static String request(String requestClass, String additionalFields) {
            return "POST /api?q=1 HTTP/1.1\r\nHost: api\r\nX-Trace-Id: t" + nextId.incrementAndGet() + "\r\nX-Qos: "
                    + requestClass + "\r\nX-Expires-In-Ms: 5000\r\n" + additionalFields + "\r\n";
        }

        void sendRequest(String requestClass) throws IOException {
            send(request(requestClass, "Content-Length: 2\r\n") + "hi");
        }
    }

    /**
     * A request received by a peer, and its connection. A null message means that the sidecar closed the connection.
     */
    record ReceivedRequest(ScriptedConnection connection, String message) {
        void respond(String status, String body) throws IOException {
            connection.send("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
        }

        /** Sends a line of the response to a watch, as a chunk. */
        void sendLine(String text) throws IOException {
            connection.send(Integer.toHexString(text.length() + 1) + "\r\n" + text + "\n\r\n");
        }

        void beginWatch() throws IOException {
            connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        void reset() throws IOException {
            connection.socket.setSoLinger(true, 0);
            connection.socket.close();
        }
    }

    /** A scripted server or discovery, which accepts connections and requests. The test sends the responses. */
    static final class ScriptedPeer implements Closeable {
        private final ServerSocket listener;
        private final BlockingQueue<ReceivedRequest> requests = new LinkedBlockingQueue<>();
        private final CountDownLatch open = new CountDownLatch(1);
        private final List<Socket> backlogFillers = new ArrayList<>();
        private final Thread accepting;

        ScriptedPeer() throws IOException {
            this(50);
            open.countDown();
        }

        private ScriptedPeer(int backlog) throws IOException {
            listener = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
            accepting = background(() -> {
                open.await();
                while (true) {
                    ScriptedConnection connection = new ScriptedConnection(listener.accept());
                    background(() -> {
                        String message;
                        do {
                            message = connection.read();
                            requests.add(new ReceivedRequest(connection, message));
                        } while (message != null);
                    });
                }
            });
        }

        /**
         * Returns a peer to which connects complete only after {@link #startAccepting}, when the system retries them.
         */
        static ScriptedPeer withDelayedAccept() throws IOException {
            ScriptedPeer delayed = new ScriptedPeer(1);
            for (int index = 0; index < 2; index++) { // fills the backlog, which holds one more than requested
                delayed.backlogFillers.add(
                        new Socket(InetAddress.getLoopbackAddress(), delayed.listener.getLocalPort()));
            }
            return delayed;
        }

        void startAccepting() throws IOException {
            for (Socket filler : backlogFillers) {
                filler.close();
            }
            open.countDown();
        }

        InetSocketAddress address() {
            return (InetSocketAddress) listener.getLocalSocketAddress();
        }

        String endpointJson(String id, String state) {
            return "{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:" + listener.getLocalPort()
                    + "\",\"zone\":\"a\",\"kind\":\"k\",\"cell\":0,\"state\":\"" + state
                    + "\",\"weight\":1.0,\"started_ms\":0}";
        }

        /** Whether neither a request nor a closed connection is queued for the test. */
        boolean hasNoRequest() {
            return requests.isEmpty();
        }

        /** Returns the next request, and skips connections that were closed without one. */
        ReceivedRequest nextRequest() throws InterruptedException {
            ReceivedRequest request = next();
            while (request.message() == null) {
                request = next();
            }
            return request;
        }

        ReceivedRequest next() throws InterruptedException {
            ReceivedRequest request = requests.poll(TIMEOUT_S, TimeUnit.SECONDS);
            assertNotNull(request, "no request was received");
            return request;
        }

        /**
         * Closes the listener. Afterwards connects are refused: the method waits for the accepting thread, because the
         * system may still accept a connection until that thread has ended.
         */
        @Override
        public void close() throws IOException {
            listener.close();
            open.countDown();
            try {
                accepting.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
