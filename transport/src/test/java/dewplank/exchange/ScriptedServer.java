package dewplank.exchange;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A server whose responses the test sends: it accepts connections, reads requests from them and queues both. */
public final class ScriptedServer implements Closeable {
    /** Size of the receive buffer of a server that reads nothing, so that a long request stays with its sender. */
    private static final int UNREAD_BYTES = 32 * 1024;

    /** Null if connections are refused. */
    private final ServerSocket listener;

    /** Null if connections are accepted. */
    private final ReservedPort refusing;

    private final BlockingQueue<Call> calls;
    private final BlockingQueue<TestPeer> accepted = new LinkedBlockingQueue<>();
    private final boolean readsRequests;
    private final CountDownLatch open = new CountDownLatch(1);
    private final List<Socket> backlogFillers = new ArrayList<>();
    private final List<TestPeer> peers = new ArrayList<>();
    private final Thread accepting;

    /** A complete request, the connection on which it arrived, and the server that received it. */
    public record Call(ScriptedServer server, TestPeer peer, TestPeer.Message message) {}

    /** Creates a server with its own queue of calls. */
    public ScriptedServer() throws IOException {
        this(new LinkedBlockingQueue<>());
    }

    /** Creates a server that adds its calls to a queue that other servers may share. */
    public ScriptedServer(BlockingQueue<Call> calls) throws IOException {
        this(calls, true, 50);
        open.countDown();
    }

    private ScriptedServer(BlockingQueue<Call> calls, boolean readsRequests, int backlog) throws IOException {
        this.calls = calls;
        this.readsRequests = readsRequests;
        refusing = null;
        listener = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
        accepting = background(this::accept);
    }

    private ScriptedServer(ReservedPort refusing) {
        this.calls = new LinkedBlockingQueue<>();
        this.readsRequests = false;
        this.refusing = refusing;
        listener = null;
        accepting = null;
    }

    /** Returns a server that refuses connections. */
    public static ScriptedServer refusing() throws IOException {
        return new ScriptedServer(new ReservedPort());
    }

    /** Returns a server that reads nothing: the test reads its connections. */
    public static ScriptedServer withoutReading() throws IOException {
        ScriptedServer server = new ScriptedServer(new LinkedBlockingQueue<>(), false, 50);
        server.listener.setReceiveBufferSize(UNREAD_BYTES);
        server.open.countDown();
        return server;
    }

    /**
     * Returns a server to which connections are established only after {@link #acceptConnections}, at the next SYN
     * retry.
     */
    public static ScriptedServer withDelayedAccept(BlockingQueue<Call> calls) throws IOException {
        ScriptedServer server = new ScriptedServer(calls, true, 1);
        for (int i = 0; i < 2; i++) { // the system's backlog is the argument plus one
            server.backlogFillers.add(new Socket(
                    InetAddress.getLoopbackAddress(), server.address().getPort()));
        }
        return server;
    }

    /** Allows connections to a server created by {@link #withDelayedAccept} to be established. */
    public void acceptConnections() throws IOException {
        for (Socket filler : backlogFillers) {
            filler.close();
        }
        open.countDown();
    }

    private void accept() throws IOException, InterruptedException {
        open.await();
        while (true) {
            TestPeer peer = new TestPeer(listener.accept());
            synchronized (peers) {
                peers.add(peer);
            }
            accepted.add(peer);
            if (readsRequests) {
                background(() -> serve(peer));
            }
        }
    }

    private void serve(TestPeer peer) {
        try {
            for (TestPeer.Message message = peer.read(); message != null; message = peer.read()) {
                calls.add(new Call(this, peer, message));
            }
        } catch (IOException e) {
            // a broken connection counts as closed
        } finally {
            peer.markClosedByPeer();
        }
    }

    private interface Work {
        void run() throws IOException, InterruptedException;
    }

    private static Thread background(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException | InterruptedException e) {
                // the test has closed the socket
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public InetSocketAddress address() {
        return refusing == null ? (InetSocketAddress) listener.getLocalSocketAddress() : refusing.address();
    }

    /** The address in the fleet's format. */
    public String addressText() {
        return "127.0.0.1:" + address().getPort();
    }

    /** Returns the next request, waiting for it if necessary. */
    public Call next() throws InterruptedException {
        return next(calls);
    }

    /** Returns the next request of a queue, waiting for it if necessary. */
    public static Call next(BlockingQueue<Call> calls) throws InterruptedException {
        Call call = calls.poll(TestPeer.TIMEOUT_S, TimeUnit.SECONDS);
        if (call == null) {
            throw new AssertionError("no request was received");
        }
        return call;
    }

    /** Returns the next connection, with or without a request on it. */
    public TestPeer nextConnection() throws InterruptedException {
        TestPeer peer = accepted.poll(TestPeer.TIMEOUT_S, TimeUnit.SECONDS);
        if (peer == null) {
            throw new AssertionError("no connection was accepted");
        }
        return peer;
    }

    /** Number of accepted connections that {@link #nextConnection} has not returned yet. */
    public int pendingConnections() {
        return accepted.size();
    }

    /** Closes all connections; new ones are refused. */
    @Override
    public void close() throws IOException {
        if (refusing != null) {
            refusing.close();
            return;
        }
        listener.close();
        open.countDown();
        try {
            accepting.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        synchronized (peers) {
            for (TestPeer peer : peers) {
                peer.close();
            }
        }
        for (Socket filler : backlogFillers) {
            filler.close();
        }
    }
}
