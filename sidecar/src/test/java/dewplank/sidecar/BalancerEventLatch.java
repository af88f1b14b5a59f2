package dewplank.sidecar;

import dewplank.balancer.Balancer;
import dewplank.balancer.Event;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.exchange.ConnectionPool;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/** Wraps the balancer; a test awaits it until the balancer has handled an event of some kind. */
final class BalancerEventLatch implements UnaryOperator<Balancer> {
    private static final int TIMEOUT_S = 20;

    private final Predicate<Event> kind;
    private final CountDownLatch handled = new CountDownLatch(1);

    BalancerEventLatch(Predicate<Event> kind) {
        this.kind = kind;
    }

    /** Opens once the balancer has handled an update whose first endpoint is this server. */
    static BalancerEventLatch forUpdateOf(String server) {
        return new BalancerEventLatch(event -> event instanceof EndpointUpdate update
                && !update.endpoints().isEmpty()
                && update.endpoints().get(0).server().equals(server));
    }

    @Override
    public Balancer apply(Balancer balancer) {
        return (now, event, out) -> {
            balancer.handle(now, event, out);
            if (kind.test(event)) {
                handled.countDown();
            }
        };
    }

    void await() throws InterruptedException {
        if (!handled.await(TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new AssertionError("the event never came");
        }
    }

    /** Until the sidecar has accepted a request. */
    static void awaitRequestAccepted(LoopbackNetwork net) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (System.nanoTime() < until && callOnLoop(net, () -> net.sidecar.openRequestCount()) == 0) {
            Thread.onSpinWait();
        }
    }

    static <T> T callOnLoop(LoopbackNetwork net, java.util.concurrent.Callable<T> task) throws Exception {
        FutureTask<T> done = new FutureTask<>(task);
        net.sidecar.loop().execute(done);
        return done.get();
    }

    static void awaitHealthStatus(LoopbackNetwork.Client client, String status) throws IOException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        String answer;
        do {
            if (System.nanoTime() > until) {
                throw new AssertionError("/_health never answered " + status);
            }
            client.send("GET /_health HTTP/1.1\r\n\r\n");
            answer = client.read();
        } while (!answer.startsWith("HTTP/1.1 " + status));
    }

    /** Until the server connections that are idle now may be reused. */
    static void awaitConnectionReusable(LoopbackNetwork net) throws Exception {
        CountDownLatch reusable = new CountDownLatch(1);
        callOnLoop(net, () -> net.sidecar.loop().after(ConnectionPool.REUSE_DELAY_MS, reusable::countDown));
        reusable.await();
    }
}
