package dewplank.emulator.scenario;

/**
 * The deployment's rules, which the auditor checks and which configure the balancer.
 *
 * @param responseSlackMs time by which a response may exceed the client's deadline
 * @param drainMs time after which a draining server must not receive new requests
 * @param collapseFactor load that a cold server can handle, as a multiple of its current capacity
 * @param collapseWindowMs window over which that load is measured
 * @param warmUpMs duration of slow start
 * @param warmUpInitialFraction fraction of the normal load at the beginning of slow start
 * @param maxSubscribeDelayMs maximum time until a sidecar renews an interrupted subscription to the directory
 * @param maxAttempts maximum number of attempts that a sidecar sends for a request
 * @param healthChecks whether health checks are allowed
 * @param hedging whether hedged requests are allowed
 * @param allowsRetryAdvice whether rejections may contain Retry-After
 * @param maxRetryAdviceMs maximum Retry-After
 */
public record Rules(
        double responseSlackMs,
        double drainMs,
        double collapseFactor,
        double collapseWindowMs,
        double warmUpMs,
        double warmUpInitialFraction,
        double maxSubscribeDelayMs,
        int maxAttempts,
        boolean healthChecks,
        boolean hedging,
        boolean allowsRetryAdvice,
        double maxRetryAdviceMs) {

    /** Returns a copy with the given response slack. */
    Rules withResponseSlackMs(double newAnswerSlackMs) {
        return new Rules(
                newAnswerSlackMs,
                drainMs,
                collapseFactor,
                collapseWindowMs,
                warmUpMs,
                warmUpInitialFraction,
                maxSubscribeDelayMs,
                maxAttempts,
                healthChecks,
                hedging,
                allowsRetryAdvice,
                maxRetryAdviceMs);
    }
}
