package dewplank.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.MalformedResponse;
import dewplank.net.EventLoop;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** The idle timeout of a watch, which detects that discovery is partitioned off, and responses that are broken. */
class CatalogWatchTest {
    private static final double LONG_TIMEOUT_MS = 20_000; // expires only if a test fails

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

    private static final String LIST = "{\"version\":4,\"full\":true,\"servers\":[{\"id\":\"s1\"}]}";

    /** The events of a watch until its end; discovery sends this text and closes the connection. */
    private static List<String> eventsOf(String response) throws Exception {
        BlockingQueue<String> events = new LinkedBlockingQueue<>();
        EventLoop loop = new EventLoop();
        try (ServerSocket discovery = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            loop.execute(() -> {
                CatalogWatch watch = new CatalogWatch(
                        loop,
                        (InetSocketAddress) discovery.getLocalSocketAddress(),
                        3,
                        LONG_TIMEOUT_MS,
                        list -> events.add("list " + list),
                        () -> events.add("keepalive"),
                        reason -> events.add("end"));
                watch.start();
            });
            try (Socket connection = discovery.accept()) {
                connection.getInputStream().read();
                connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
            }
            List<String> all = new ArrayList<>();
            do {
                all.add(events.take());
            } while (!all.contains("end"));
            return all;
        } finally {
            loop.stop();
        }
    }

    @ParameterizedTest
    @EnumSource(MalformedResponse.class)
    void aMalformedResponseEndsTheWatchWithoutAList(MalformedResponse malformed) throws Exception {
        assertEquals(List.of("end"), eventsOf(malformed.withFields("")));
    }

    private static IntStream lengthsOfParts() {
        return IntStream.range(0, LIST.length());
    }

    @ParameterizedTest
    @MethodSource("lengthsOfParts")
    void aPartOfAListIsNoList(int length) throws Exception {
        assertEquals(List.of("end"), eventsOf("HTTP/1.1 200 OK\r\n\r\n" + LIST.substring(0, length)));
    }

    @Test
    void aListIsCompleteAtItsLastBrace() throws Exception {
        assertEquals(List.of("list " + LIST, "end"), eventsOf("HTTP/1.1 200 OK\r\n\r\n" + LIST));
    }
}
