package dewplank.sidecar;

import dewplank.balancer.Balancer;
import dewplank.balancer.Event;
import dewplank.balancer.Event.EndpointUpdate;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/** A wrapper of the balancer that opens once the balancer has handled a matching event. */
final class BalancerEventLatch implements UnaryOperator<Balancer> {
    private static final int TIMEOUT_S = 20;

    private final Predicate<Event> matcher;
    private final CountDownLatch handled = new CountDownLatch(1);

    BalancerEventLatch(Predicate<Event> matcher) {
        this.matcher = matcher;
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
            if (matcher.test(event)) {
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
