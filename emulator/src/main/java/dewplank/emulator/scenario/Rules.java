package dewplank.emulator.scenario;

/**
 * The rules of the deployment, which the auditor checks and the balancer is configured with.
 *
 * @param answerSlackMs by which a response may miss the client's deadline
 * @param drainMs after which a draining server must get no new requests
 * @param collapseFactor times its present capacity, which a cold server can bear
 * @param collapseWindowMs over which that load is counted
 * @param warmUpMs of slow start
 * @param warmUpInitialFraction of the usual load, at the beginning of slow start
 * @param maxSendDelayMs after which nothing may be sent for the first time
 * @param maxAttempts of a request at servers
 * @param healthChecks whether they are allowed
 * @param hedging whether hedged requests are allowed
 * @param retryAdvice whether rejections may carry Retry-After
 * @param maxAdviceMs longest Retry-After
 */
public record Rules(
        double answerSlackMs,
        double drainMs,
        double collapseFactor,
        double collapseWindowMs,
        double warmUpMs,
        double warmUpInitialFraction,
        double maxSendDelayMs,
        int maxAttempts,
        boolean healthChecks,
        boolean hedging,
        boolean retryAdvice,
        double maxAdviceMs) {

    /** The same with another slack. */
    Rules withAnswerSlackMs(double newAnswerSlackMs) {
        return new Rules(
                newAnswerSlackMs,
                drainMs,
                collapseFactor,
                collapseWindowMs,
                warmUpMs,
                warmUpInitialFraction,
                maxSendDelayMs,
                maxAttempts,
                healthChecks,
                hedging,
                retryAdvice,
                maxAdviceMs);
    }
}
