package dewplank.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.net.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;

/** The idle timeout of a watch, which detects that discovery is partitioned off. */
class CatalogWatchTest {

    /**
     * Regression: a watch was idle for 5 s during a rollout of the servers. Discovery sends a line every 2 s, and an
     * update counts as delivered 4 s after discovery's address has changed.
     */
    @Test
    void theIdleTimeoutLeavesTimeToReopenTheWatch() {
        assertTrue(CatalogWatch.IDLE_TIMEOUT_MS > 2_000 && CatalogWatch.IDLE_TIMEOUT_MS < 4_000);
    }

    /** If discovery is partitioned off, the connection stays open and receives nothing; TCP does not detect it. */
    @Test
    void aWatchWithoutReceivedBytesClosesItsConnection() throws Exception {
        BlockingQueue<String> events = new LinkedBlockingQueue<>();
        EventLoop loop = new EventLoop();
        try (ServerSocket discovery = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            loop.execute(() -> {
                CatalogWatch watch = new CatalogWatch(
                        loop,
                        (InetSocketAddress) discovery.getLocalSocketAddress(),
                        3,
                        20,
                        list -> events.add("list " + list),
                        () -> events.add("keepalive"),
                        events::add);
                watch.start();
            });
            assertEquals("idle timeout after 20 ms", events.take());
            try (Socket connection = discovery.accept()) {
                String request = new String(connection.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
                assertTrue(request.startsWith("GET /catalog/members?stream=1&index=3 HTTP/1.1\r\n"), request);
            }
        }
        loop.stop();
    }
}
