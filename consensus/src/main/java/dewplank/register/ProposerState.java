package dewplank.register;

/**
 * The state of the {@link Proposer}. The transitions are described in {@code docs/register.md}. The states are classes,
 * not records, because the model test copies and resets their fields.
 *
 * @param <A> the result of the callers' changes
 */
sealed interface ProposerState<A>
        permits ProposerState.Idle, ProposerState.InRound, ProposerState.Announcing, ProposerState.BackingOff {
    /** The active task; null in {@link Idle} only. */
    Task<A> task();

    /** Whether the proposer may change from this state to the given one. */
    boolean canTransitionTo(ProposerState<A> next);

    /** No task is active. */
    final class Idle<A> implements ProposerState<A> {
        @Override
        public Task<A> task() {
            return null;
        }

        @Override
        public boolean canTransitionTo(ProposerState<A> next) {
            return next instanceof InRound;
        }
    }

    /** A round of the task is in progress. */
    final class InRound<A> implements ProposerState<A> {
        private final Task<A> task;
        private final int attempt;
        private final Round<A> round;

        InRound(Task<A> task, int attempt, Round<A> round) {
            this.task = task;
            this.attempt = attempt;
            this.round = round;
        }

        @Override
        public Task<A> task() {
            return task;
        }

        /** The number of this round of the task, which starts at 1 and restarts at 1 after each chosen value. */
        int attempt() {
            return attempt;
        }

        Round<A> round() {
            return round;
        }

        @Override
        public boolean canTransitionTo(ProposerState<A> next) {
            return !(next instanceof InRound);
        }
    }

    /** A round of the task has chosen a value, which is being learned and announced. */
    final class Announcing<A> implements ProposerState<A> {
        private final Task<A> task;

        Announcing(Task<A> task) {
            this.task = task;
        }

        @Override
        public Task<A> task() {
            return task;
        }

        @Override
        public boolean canTransitionTo(ProposerState<A> next) {
            return next instanceof Idle || next instanceof InRound;
        }
    }

    /** The last round of the task got no quorum. */
    final class BackingOff<A> implements ProposerState<A> {
        private final Task<A> task;
        private final int attempt;
        private final double retryAtMs;

        BackingOff(Task<A> task, int attempt, double retryAtMs) {
            this.task = task;
            this.attempt = attempt;
            this.retryAtMs = retryAtMs;
        }

        @Override
        public Task<A> task() {
            return task;
        }

        /** The number of the round that got no quorum. */
        int attempt() {
            return attempt;
        }

        /** The time at which the next round starts. */
        double retryAtMs() {
            return retryAtMs;
        }

        @Override
        public boolean canTransitionTo(ProposerState<A> next) {
            return next instanceof Idle || next instanceof InRound;
        }
    }
}
