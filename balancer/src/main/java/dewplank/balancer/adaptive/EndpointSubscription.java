package dewplank.balancer.adaptive;

import dewplank.balancer.Action.Subscribe;
import dewplank.balancer.Settings;
import java.util.random.RandomGenerator;

/**
 * Renews the subscription to the endpoint list, with exponential backoff and jitter; does nothing if the
 * list is pushed.
 */
final class EndpointSubscription {
    private static final double MIN_BACKOFF_MS = 500;

    private final Settings settings;
    private final Step step;
    private final RandomGenerator random;
    private boolean isPending;
    private double backoffMs = MIN_BACKOFF_MS;

    EndpointSubscription(Settings settings, Step step, RandomGenerator random) {
        this.settings = settings;
        this.step = step;
        this.random = random;
    }

    /** Whether a subscription was requested and no update has been received yet. */
    boolean isPending() {
        return isPending;
    }

    void subscribe() {
        if (!settings.endpointListIsPushed() && !isPending) {
            isPending = true;
            step.emit(new Subscribe());
        }
    }

    void onBroken() {
        isPending = false;
        double delayMs = backoffMs * (0.5 + random.nextDouble());
        backoffMs = Math.min(backoffMs * 2, settings.safety().maxSubscribeDelayMs() / 2);
        step.schedule(delayMs, this::subscribe);
    }

    void onUpdate() {
        isPending = false;
        backoffMs = MIN_BACKOFF_MS;
    }
}
