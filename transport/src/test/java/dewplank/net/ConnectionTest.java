package dewplank.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.ReadPendingException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Concurrent reads of a connection while its handler runs, and failed connection attempts. */
class ConnectionTest {
    private static final int TIMEOUT_S = 20;

    /**
     * The system's poller reads on a separate thread. Bytes that it reads while a handler processes unconsumed bytes
     * must not overwrite these. The handler of this test waits until such a read has completed.
     */
    @Test
    void bytesReadWhileAHandlerRunsDoNotOverwriteUnconsumedOnes() throws Exception {
        EventLoop loop = new EventLoop();
        BlockingQueue<String> received = new LinkedBlockingQueue<>();
        try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                AsynchronousSocketChannel channel = AsynchronousSocketChannel.open(loop.group())) {
            channel.connect(listener.getLocalSocketAddress()).get();
            Socket peer = listener.accept();
            Connection.Handler handler = new Connection.Handler() {
                private int calls;

                @Override
                public void received(ByteBuffer bytes) {
                    if (++calls == 1) { // the bytes are not consumed, and another read is pending
                        received.add("not consumed");
                        return;
                    }
                    if (calls == 2) {
                        send(peer, "second");
                        awaitRead(channel);
                    }
                    byte[] taken = new byte[bytes.remaining()];
                    bytes.get(taken);
                    received.add(new String(taken, StandardCharsets.US_ASCII));
                }

                @Override
                public void closed(IOException cause) {}
            };
            CompletableFuture<Connection> connection = new CompletableFuture<>();
            loop.execute(() -> {
                try {
                    connection.complete(new Connection(loop, channel, handler));
                    connection.join().read();
                } catch (IOException e) {
                    connection.completeExceptionally(e);
                }
            });
            connection.get();
            send(peer, "first");
            assertEquals("not consumed", received.poll(TIMEOUT_S, TimeUnit.SECONDS));
            loop.execute(connection.join()::resume);
            assertEquals("first", received.poll(TIMEOUT_S, TimeUnit.SECONDS));
            assertEquals("second", received.poll(TIMEOUT_S, TimeUnit.SECONDS));
            peer.close();
        } finally {
            loop.stop();
        }
    }

    /** The failure must be reported to the callback: after an exception, the attempt would never complete. */
    @Test
    void connectingToAnUnresolvedAddressFails() throws Exception {
        EventLoop loop = new EventLoop();
        try {
            CompletableFuture<IOException> failure = new CompletableFuture<>();
            loop.execute(() -> Connection.open(
                    loop,
                    InetSocketAddress.createUnresolved("nowhere.invalid", 1),
                    null,
                    established -> {},
                    failure::complete));
            assertTrue(failure.get(TIMEOUT_S, TimeUnit.SECONDS).getMessage().contains("Unresolved"));
        } finally {
            loop.stop();
        }
    }

    private static void send(Socket peer, String text) {
        try {
            peer.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits until no read is pending: a second read is rejected until then. */
    private static void awaitRead(AsynchronousSocketChannel channel) {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (System.nanoTime() < deadline) {
            try {
                channel.read(ByteBuffer.allocate(0));
                return;
            } catch (ReadPendingException e) {
                Thread.onSpinWait();
            }
        }
        throw new IllegalStateException("the second read is still pending");
    }
}
