package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that the platform's list is fetched page by page, within the platform's rate limit. */
class HttpPlatformClientTest {
    private static final double RATE_LIMIT_PER_S = 4; // the client uses half of it
    private static final double SECOND_MS = 1_000;

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

    private static void respondWithPage(Call call, int number, String next) throws IOException {
        call.peer()
                .respond(
                        "200 OK",
                        "",
                        "{\"instances\":[{\"instance_id\":\"i-" + number + "\",\"service\":\"s\","
                                + "\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slot_count\":4,"
                                + "\"state\":\"ready\"}],\"next_token\":"
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
}
