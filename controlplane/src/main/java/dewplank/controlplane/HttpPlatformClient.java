package dewplank.controlplane;

import dewplank.exchange.ConnectionPool;
import dewplank.exchange.HttpCall;
import dewplank.http.Headers;
import dewplank.http.MessageWriter;
import dewplank.message.Endpoint;
import dewplank.net.EventLoop;
import dewplank.net.TimerWheel;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Fetches the platform's list of servers over HTTP, page by page, within its rate limit. A failed request fails the
 * whole fetch. Must be used on the loop's thread only.
 */
final class HttpPlatformClient implements PlatformClient {
    private static final double CALL_TIMEOUT_MS = 1_000;
    private static final double CONNECT_TIMEOUT_MS = 500;
    private static final int MAX_PAGES = 1_000;
    private static final int MAX_PAGE_BYTES = 4 * 1024 * 1024;
    private static final int MAX_SERVERS = 20_000;
    /**
     * Fraction of the platform's rate limit that this process uses: for a short time, two processes may consider
     * themselves the lease holder.
     */
    private static final double RATE_LIMIT_FRACTION = 0.5;

    private static final double SECOND_MS = 1_000;
    private static final int STATUS_OK = 200;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final ConnectionPool pool;
    private final int maxCallsPerSecond;
    private final ArrayDeque<Double> recentCallsAt = new ArrayDeque<>();
    private long calls;

    HttpPlatformClient(EventLoop loop, InetSocketAddress address, double callsPerSecond) {
        this.loop = loop;
        this.address = address;
        this.maxCallsPerSecond = (int) Math.max(1, RATE_LIMIT_FRACTION * callsPerSecond);
        this.pool = new ConnectionPool(loop, 0, Double.POSITIVE_INFINITY);
    }

    long calls() {
        return calls;
    }

    @Override
    public void fetchInstances(Callback callback) {
        new ListFetch(callback).requestPage(null);
    }

    /** One fetch of all pages. */
    private final class ListFetch implements HttpCall.Listener {
        private final Callback callback;
        private final List<Endpoint> servers = new ArrayList<>();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private HttpCall call;
        private TimerWheel.Timer timeout;
        private int status;
        private int pages;

        ListFetch(Callback callback) {
            this.callback = callback;
        }

        /** Requests the page as soon as the rate limit allows it: a rejected request would fail the whole fetch. */
        void requestPage(String token) {
            double now = loop.now();
            while (!recentCallsAt.isEmpty() && recentCallsAt.peekFirst() <= now - SECOND_MS) {
                recentCallsAt.removeFirst();
            }
            if (recentCallsAt.size() >= maxCallsPerSecond) {
                loop.after(recentCallsAt.peekFirst() + SECOND_MS - now, () -> requestPage(token));
                return;
            }
            recentCallsAt.addLast(now);
            sendRequest(token);
        }

        private void sendRequest(String token) {
            calls++;
            pages++;
            body.reset();
            String target = token == null ? "/instances" : "/instances?page_token=" + token;
            String host = address.getAddress().getHostAddress() + ":" + address.getPort();
            call = new HttpCall(
                            loop,
                            address,
                            pool,
                            MessageWriter.request("GET", target, host).noBody(),
                            this)
                    .collectBody(MAX_PAGE_BYTES);
            timeout = loop.after(CALL_TIMEOUT_MS, () -> {
                call.cancel();
                callback.failed("no answer");
            });
            call.start(CONNECT_TIMEOUT_MS);
        }

        @Override
        public boolean head(int responseStatus, Headers headers) {
            status = responseStatus;
            return true;
        }

        @Override
        public void body(byte[] chunk) {
            body.writeBytes(chunk);
        }

        @Override
        public void complete() {
            timeout.cancel();
            if (status != STATUS_OK) {
                callback.failed("status " + status);
                return;
            }
            InstancePage page;
            try {
                page = InstancePage.parse(body.toByteArray());
            } catch (UnreadableResponseException e) {
                callback.failed("an answer that can't be read");
                return;
            }
            servers.addAll(page.instances());
            if (page.nextToken().isEmpty()) {
                callback.completed(servers);
            } else if (pages == MAX_PAGES || servers.size() > MAX_SERVERS) {
                callback.failed("more than " + MAX_PAGES + " pages or " + MAX_SERVERS + " servers");
            } else {
                requestPage(page.nextToken().get());
            }
        }

        @Override
        public void failed(HttpCall.Failure failure) {
            timeout.cancel();
            callback.failed(failure.toString());
        }
    }
}
