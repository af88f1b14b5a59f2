package dewplank.emulator.scenario;

/**
 * How clients wait for responses and retry requests.
 *
 * @param maxRetries maximum number of retries of a request
 * @param attemptDeadlineFraction deadline of an attempt, as a fraction of the class's deadline
 * @param backoffMs mean delay before a retry
 * @param honourRetryAfterFraction fraction of requests whose client honours Retry-After
 * @param abandonFraction fraction of attempts that are abandoned halfway to their deadline
 * @param marksRetries whether clients mark retries as retries
 */
public record ClientBehaviour(
        int maxRetries,
        double attemptDeadlineFraction,
        double backoffMs,
        double honourRetryAfterFraction,
        double abandonFraction,
        boolean marksRetries) {

    /** Returns a copy with the given maximum number of retries. */
    ClientBehaviour withMaxRetries(int newMaxRetries) {
        return new ClientBehaviour(
                newMaxRetries,
                attemptDeadlineFraction,
                backoffMs,
                honourRetryAfterFraction,
                abandonFraction,
                marksRetries);
    }

    /** Returns a copy with the given fraction of requests whose client honours Retry-After. */
    ClientBehaviour withHonourRetryAfterFraction(double newFraction) {
        return new ClientBehaviour(
                maxRetries, attemptDeadlineFraction, backoffMs, newFraction, abandonFraction, marksRetries);
    }
}
