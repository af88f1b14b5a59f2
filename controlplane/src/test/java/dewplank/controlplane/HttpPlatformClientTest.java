package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.MalformedResponse;
import dewplank.exchange.OnLoop;
import dewplank.exchange.ScriptedServer;
import dewplank.exchange.ScriptedServer.Call;
import dewplank.exchange.TestPeer;
import dewplank.message.Endpoint;
import dewplank.net.EventLoop;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that the platform's list is fetched page by page, within the platform's rate limit. */
class HttpPlatformClientTest {
    private static final double RATE_LIMIT_PER_S = 4; // the client uses half of it
    private static final double SECOND_MS = 1_000;

    private static final String PAGE_OF_TWO = "{\"instances\":[" + instance(1) + "," + instance(2) + "]}";

    private EventLoop loop;
    private ScriptedServer platform;
    private HttpPlatformClient client;

    @BeforeEach
    void begin() throws IOException {
        loop = new EventLoop();
        platform = new ScriptedServer();
        client = new HttpPlatformClient(loop, platform.address(), RATE_LIMIT_PER_S);
    }

    @AfterEach
    void end() throws IOException {
        loop.stop();
        platform.close();
    }

    private CompletableFuture<List<Endpoint>> fetchInstances() throws Exception {
        CompletableFuture<List<Endpoint>> result = new CompletableFuture<>();
        OnLoop.run(
                loop,
                () -> client.fetchInstances(new HttpPlatformClient.Callback() {
                    @Override
                    public void completed(List<Endpoint> servers) {
                        result.complete(servers);
                    }

                    @Override
                    public void failed(String reason) {
                        result.completeExceptionally(new IOException(reason));
                    }
                }));
        return result;
    }

    private static String instance(int number) {
        return "{\"instance_id\":\"i-" + number + "\",\"service\":\"s\",\"address\":\"10.0.0.1:80\","
                + "\"zone\":\"z\",\"slot_count\":4,\"state\":\"ready\"}";
    }

    private static void respondWithPage(Call call, int number, String next) throws IOException {
        call.peer()
                .respond(
                        "200 OK",
                        "",
                        "{\"instances\":[" + instance(number) + "],\"next_token\":"
                                + (next == null ? "null" : "\"" + next + "\"") + "}");
    }

    /** At two requests a second, each page is requested at least one second after the last page but one before it. */
    @Test
    void pagesAreRequestedWithinTheRateLimit() throws Exception {
        double startedAt = loop.now();
        CompletableFuture<List<Endpoint>> servers = fetchInstances();
        for (int i = 0; i < 5; i++) {
            Call call = platform.next();
            assertEquals(
                    i == 0 ? "/instances" : "/instances?page_token=p" + i,
                    call.message().target());
            int completedPairs = i / 2;
            assertTrue(
                    loop.now() - startedAt >= completedPairs * SECOND_MS,
                    "page " + i + " after " + (loop.now() - startedAt));
            respondWithPage(call, i, i < 4 ? "p" + (i + 1) : null);
        }
        assertEquals(
                List.of("i-0", "i-1", "i-2", "i-3", "i-4"),
                servers.get(TestPeer.TIMEOUT_S, TimeUnit.SECONDS).stream()
                        .map(s -> s.instanceId)
                        .toList());
    }

    /** Consecutive fetches share the rate limit. */
    @Test
    void theNextFetchIsLimitedByTheSameRate() throws Exception {
        double startedAt = loop.now();
        for (int i = 0; i < 3; i++) {
            CompletableFuture<List<Endpoint>> servers = fetchInstances();
            respondWithPage(platform.next(), i, null);
            servers.get(TestPeer.TIMEOUT_S, TimeUnit.SECONDS);
        }
        assertTrue(loop.now() - startedAt >= SECOND_MS);
    }

    @Test
    void aRejectedRequestFailsTheFetchWithItsStatus() throws Exception {
        CompletableFuture<List<Endpoint>> servers = fetchInstances();
        platform.next().peer().respond("429 Too Many Requests", "", "");
        String reason = null;
        try {
            servers.get(TestPeer.TIMEOUT_S, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            reason = e.getCause().getMessage();
        }
        assertEquals("status 429", reason);
        CompletableFuture<List<Endpoint>> second = fetchInstances();
        respondWithPage(platform.next(), 7, null);
        assertNull(second.get(TestPeer.TIMEOUT_S, TimeUnit.SECONDS).get(0).stage);
    }

    private static String failureOf(CompletableFuture<List<Endpoint>> servers) {
        ExecutionException failure =
                assertThrows(ExecutionException.class, () -> servers.get(TestPeer.TIMEOUT_S, TimeUnit.SECONDS));
        return failure.getCause().getMessage();
    }

    @ParameterizedTest
    @EnumSource(MalformedResponse.class)
    void aMalformedResponseFailsTheFetch(MalformedResponse malformed) throws Exception {
        CompletableFuture<List<Endpoint>> servers = fetchInstances();
        platform.next().peer().send(malformed.withFields(""));
        assertEquals("MALFORMED", failureOf(servers));
    }

    private static IntStream lengthsOfParts() {
        return IntStream.range(0, PAGE_OF_TWO.length());
    }

    /** A page without a length that ends early must not be taken for a shorter list, wherever it ends. */
    @ParameterizedTest
    @MethodSource("lengthsOfParts")
    void aPartOfAPageFailsTheFetch(int length) throws Exception {
        CompletableFuture<List<Endpoint>> servers = fetchInstances();
        TestPeer peer = platform.next().peer();
        peer.send("HTTP/1.1 200 OK\r\n\r\n" + PAGE_OF_TWO.substring(0, length));
        peer.close();
        assertEquals("an answer that can't be read", failureOf(servers));
    }

    @Test
    void aPageWithoutALengthIsReadToTheEndOfItsConnection() throws Exception {
        CompletableFuture<List<Endpoint>> servers = fetchInstances();
        TestPeer peer = platform.next().peer();
        peer.send("HTTP/1.1 200 OK\r\n\r\n" + PAGE_OF_TWO);
        peer.close();
        assertEquals(2, servers.get(TestPeer.TIMEOUT_S, TimeUnit.SECONDS).size());
    }
}
