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

/** A server whose answers the test gives: it accepts connections, reads requests from them and queues both. */
public final class ScriptedServer implements Closeable {
    /** Null where connections are refused. */
    private final ServerSocket listener;

    /** Null where connections are accepted. */
    private final ReservedPort refusing;

    private final BlockingQueue<Call> calls;
    private final BlockingQueue<Wire> accepted = new LinkedBlockingQueue<>();
    private final boolean reads;
    private final CountDownLatch open = new CountDownLatch(1);
    private final List<Socket> backlogFillers = new ArrayList<>();
    private final List<Wire> wires = new ArrayList<>();
    private final Thread accepting;

    /** A complete request, the connection that brought it and the server that got it. */
    public record Call(ScriptedServer server, Wire wire, Wire.Message message) {}

    /** A server with its own queue of calls. */
    public ScriptedServer() throws IOException {
        this(new LinkedBlockingQueue<>());
    }

    /** A server that puts its calls into a queue which others may share. */
    public ScriptedServer(BlockingQueue<Call> calls) throws IOException {
        this(calls, true, 50);
        open.countDown();
    }

    private ScriptedServer(BlockingQueue<Call> calls, boolean reads, int backlog) throws IOException {
        this.calls = calls;
        this.reads = reads;
        refusing = null;
        listener = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
        accepting = background(this::accept);
    }

    private ScriptedServer(ReservedPort refusing) {
        this.calls = new LinkedBlockingQueue<>();
        this.reads = false;
        this.refusing = refusing;
        listener = null;
        accepting = null;
    }

    /** A server that refuses connections. */
    public static ScriptedServer refusing() throws IOException {
        return new ScriptedServer(new ReservedPort());
    }

    /** A server that reads nothing: its connections are the test's. */
    public static ScriptedServer raw() throws IOException {
        ScriptedServer server = new ScriptedServer(new LinkedBlockingQueue<>(), false, 50);
        server.open.countDown();
        return server;
    }

    /** Connections to it are not established before {@link #letIn}, and then at the system's next retry. */
    public static ScriptedServer late(BlockingQueue<Call> calls) throws IOException {
        ScriptedServer server = new ScriptedServer(calls, true, 1);
        for (int i = 0; i < 2; i++) { // the backlog of the system is one more than its argument
            server.backlogFillers.add(new Socket(
                    InetAddress.getLoopbackAddress(), server.address().getPort()));
        }
        return server;
    }

    /** From now on connections to a late server are established. */
    public void letIn() throws IOException {
        for (Socket filler : backlogFillers) {
            filler.close();
        }
        open.countDown();
    }

    private void accept() throws IOException, InterruptedException {
        open.await();
        while (true) {
            Wire wire = new Wire(listener.accept());
            synchronized (wires) {
                wires.add(wire);
            }
            accepted.add(wire);
            if (reads) {
                background(() -> serve(wire));
            }
        }
    }

    private void serve(Wire wire) {
        try {
            for (Wire.Message message = wire.read(); message != null; message = wire.read()) {
                calls.add(new Call(this, wire, message));
            }
        } catch (IOException e) {
            // an end too
        } finally {
            wire.hasEnded();
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
                // the test has closed this end
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    public InetSocketAddress address() {
        return refusing == null ? (InetSocketAddress) listener.getLocalSocketAddress() : refusing.address();
    }

    /** The address as the fleet writes it. */
    public String addressText() {
        return "127.0.0.1:" + address().getPort();
    }

    /** The next request. */
    public Call next() throws InterruptedException {
        return next(calls);
    }

    /** The next request of that queue. */
    public static Call next(BlockingQueue<Call> calls) throws InterruptedException {
        Call call = calls.poll(Wire.PATIENCE_S, TimeUnit.SECONDS);
        if (call == null) {
            throw new AssertionError("no request came");
        }
        return call;
    }

    /** The next connection, whether or not it brings a request. */
    public Wire nextConnection() throws InterruptedException {
        Wire wire = accepted.poll(Wire.PATIENCE_S, TimeUnit.SECONDS);
        if (wire == null) {
            throw new AssertionError("no connection came");
        }
        return wire;
    }

    /** Connections that were accepted and not yet taken by {@link #nextConnection}. */
    public int connectionsWaiting() {
        return accepted.size();
    }

    /** Ends all connections; from here on new ones are refused. */
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
        synchronized (wires) {
            for (Wire wire : wires) {
                wire.close();
            }
        }
        for (Socket filler : backlogFillers) {
            filler.close();
        }
    }
}
