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

/** What another thread and the peer may do to a connection while the loop is busy with it. */
class ConnectionTest {
    private static final int PATIENCE_S = 20;

    /**
     * The system's poller reads on a separate thread. What it reads while a handler looks at bytes that were left
     * unread must not fall among them: the handler waits here until that read is done.
     */
    @Test
    void bytesReadDuringAHandlerDoNotMixWithUnreadOnes() throws Exception {
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
                    if (++calls == 1) { // the bytes stay unread, and a read is pending behind them
                        received.add("left");
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
            assertEquals("left", received.poll(PATIENCE_S, TimeUnit.SECONDS));
            loop.execute(connection.join()::resume);
            assertEquals("first", received.poll(PATIENCE_S, TimeUnit.SECONDS));
            assertEquals("second", received.poll(PATIENCE_S, TimeUnit.SECONDS));
            peer.close();
        } finally {
            loop.stop();
        }
    }

    /** The failure is reported to the callback: an exception would leave the attempt open. */
    @Test
    void anUnresolvedAddressFails() throws Exception {
        EventLoop loop = new EventLoop();
        try {
            CompletableFuture<IOException> failure = new CompletableFuture<>();
            loop.execute(() -> Connection.open(
                    loop,
                    InetSocketAddress.createUnresolved("nowhere.invalid", 1),
                    null,
                    established -> {},
                    failure::complete));
            assertTrue(failure.get(PATIENCE_S, TimeUnit.SECONDS).getMessage().contains("Unresolved"));
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

    /** A second read is refused for as long as the first is pending. */
    private static void awaitRead(AsynchronousSocketChannel channel) {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (System.nanoTime() < until) {
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
