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

/** The idle timeout of a watch, by which a discovery that is partitioned off is noticed. */
class CatalogWatchTest {

    /**
     * Regression: a watch was idle for 5 s during a release of the servers. A line is due every 2 s, and an update
     * counts as delivered 4 s after a move.
     */
    @Test
    void theIdleTimeoutLeavesTimeForAnotherWatch() {
        assertTrue(CatalogWatch.IDLE_TIMEOUT_MS > 2_000 && CatalogWatch.IDLE_TIMEOUT_MS < 4_000);
    }

    /** A discovery that is partitioned off keeps the connection open and sends nothing; TCP does not notice. */
    @Test
    void aSilentDiscoveryEndsTheWatchAndItsConnection() throws Exception {
        BlockingQueue<String> events = new LinkedBlockingQueue<>();
        EventLoop loop = new EventLoop();
        try (ServerSocket silent = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            loop.execute(() -> {
                CatalogWatch watch = new CatalogWatch(
                        loop,
                        (InetSocketAddress) silent.getLocalSocketAddress(),
                        3,
                        20,
                        list -> events.add("list " + list),
                        () -> events.add("alive"),
                        events::add);
                watch.start();
            });
            assertEquals("idle timeout after 20 ms", events.take());
            try (Socket connection = silent.accept()) {
                String request = new String(connection.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
                assertTrue(request.startsWith("GET /catalog/members?stream=1&index=3 HTTP/1.1\r\n"), request);
            }
        }
        loop.stop();
    }
}
