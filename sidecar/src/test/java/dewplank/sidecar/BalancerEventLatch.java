package dewplank.sidecar;

import dewplank.balancer.Balancer;
import dewplank.balancer.Event;
import dewplank.exchange.ConnectionPool;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/** Round the module: a test passes it once the module has handled an event of some kind. */
final class BalancerEventLatch implements UnaryOperator<Balancer> {
    private static final int TIMEOUT_S = 20;

    private final Predicate<Event> kind;
    private final CountDownLatch handled = new CountDownLatch(1);

    BalancerEventLatch(Predicate<Event> kind) {
        this.kind = kind;
    }

    @Override
    public Balancer apply(Balancer module) {
        return (now, event, out) -> {
            module.handle(now, event, out);
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

    /** Until the sidecar has taken a request. */
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

    /** Until the connections to servers that are idle now may be used again. */
    static void awaitConnectionReusable(LoopbackNetwork net) throws Exception {
        CountDownLatch rested = new CountDownLatch(1);
        callOnLoop(net, () -> net.sidecar.loop().after(ConnectionPool.REUSE_DELAY_MS, rested::countDown));
        rested.await();
    }
}
