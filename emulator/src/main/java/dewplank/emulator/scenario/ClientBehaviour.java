package dewplank.emulator.scenario;

/**
 * How clients wait and retry.
 *
 * @param maxRetries of a request
 * @param attemptDeadlineFraction of a class's deadline that an attempt may take
 * @param backoffMs mean time before a retry
 * @param honourRetryAfterFraction of the clients, which follow Retry-After
 * @param abandonFraction of the attempts, which are abandoned half way
 * @param marksRetries whether clients mark retries as such
 */
public record ClientBehaviour(
        int maxRetries,
        double attemptDeadlineFraction,
        double backoffMs,
        double honourRetryAfterFraction,
        double abandonFraction,
        boolean marksRetries) {

    /** The same with another number of retries. */
    ClientBehaviour withMaxRetries(int newMaxRetries) {
        return new ClientBehaviour(
                newMaxRetries,
                attemptDeadlineFraction,
                backoffMs,
                honourRetryAfterFraction,
                abandonFraction,
                marksRetries);
    }

    /** The same with another part of the clients following Retry-After. */
    ClientBehaviour withHonourRetryAfterFraction(double newFraction) {
        return new ClientBehaviour(
                maxRetries, attemptDeadlineFraction, backoffMs, newFraction, abandonFraction, marksRetries);
    }
}
