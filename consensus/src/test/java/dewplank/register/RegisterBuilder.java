package dewplank.register;

import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Builds a register for a test of single steps; by default acceptor {@link #A} of three, with empty state and seed 1.
 */
final class RegisterBuilder {
    static final AcceptorId A = new AcceptorId("a", "1");
    static final AcceptorId B = new AcceptorId("b", "2");
    static final AcceptorId C = new AcceptorId("c", "3");
    static final AcceptorId D = new AcceptorId("d", "4");

    /** Acceptors A, B and C at generation 0. */
    static final AcceptorSet SET = AcceptorSet.of(List.of(A, B, C));

    /** Always writes the same payload. */
    static final Change<String> APPLYING = payload -> new Decision<>(new byte[] {9}, "applied");

    private static final double ROUND_TIMEOUT_MS = 300;
    private static final double RETRY_BACKOFF_MIN_MS = 20;
    private static final double RETRY_BACKOFF_MAX_MS = 400;
    private static final double ANTI_ENTROPY_PERIOD_MS = 500;

    private String address = A.address();
    private AcceptorSet initialAcceptors = SET;
    private DurableState recovered = DurableState.fresh(A.identity());
    private RandomGenerator random = new SplittableRandom(1);

    /** The settings of all tests that do not measure time. */
    static Register.Settings settings(String address, AcceptorSet initialAcceptors) {
        return new Register.Settings(
                address,
                initialAcceptors,
                ROUND_TIMEOUT_MS,
                RETRY_BACKOFF_MIN_MS,
                RETRY_BACKOFF_MAX_MS,
                ANTI_ENTROPY_PERIOD_MS);
    }

    static Promise promise(AcceptorId from, Ballot ballot, Ballot acceptedBallot, RegisterValue acceptedValue) {
        return new Promise(from.address(), from.identity(), A.identity(), ballot, acceptedBallot, acceptedValue);
    }

    /** A promise by an acceptor that has accepted nothing. */
    static Promise promise(AcceptorId from, Ballot ballot) {
        return promise(from, ballot, Ballot.NONE, null);
    }

    static Accepted accepted(AcceptorId from, Ballot ballot) {
        return new Accepted(from.address(), from.identity(), A.identity(), ballot);
    }

    RegisterBuilder self(AcceptorId self) {
        this.address = self.address();
        return recovered(DurableState.fresh(self.identity()));
    }

    RegisterBuilder initialAcceptors(AcceptorSet acceptors) {
        this.initialAcceptors = acceptors;
        return this;
    }

    RegisterBuilder recovered(DurableState state) {
        this.recovered = state;
        return this;
    }

    RegisterBuilder seed(long seed) {
        this.random = new SplittableRandom(seed);
        return this;
    }

    Register<String> build() {
        return new Register<>(settings(address, initialAcceptors), recovered, random);
    }
}
