package dewplank.sidecar;

import dewplank.balancer.Balancer;
import dewplank.balancer.Event;
import dewplank.balancer.Event.EndpointUpdate;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/** A wrapper of the balancer that opens once the balancer has handled an event of some kind. */
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
            throw new AssertionError("the event was not handled in time");
        }
    }
}
