package dewplank.register;

/**
 * What the {@link Proposer} is doing. The order of the states is in {@code docs/register.md}. The states are classes,
 * not records, because the model's test copies and resets their fields.
 *
 * @param <A> the result of the callers' changes
 */
sealed interface ProposerState<A>
        permits ProposerState.Idle, ProposerState.InRound, ProposerState.Announcing, ProposerState.BackingOff {
    /** The active task; null in {@link Idle} only. */
    Task<A> task();

    /** Whether the proposer may enter this state next. */
    boolean mayBeFollowedBy(ProposerState<A> next);

    /** No task is active. */
    final class Idle<A> implements ProposerState<A> {
        @Override
        public Task<A> task() {
            return null;
        }

        @Override
        public boolean mayBeFollowedBy(ProposerState<A> next) {
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

        /** Counts the rounds of the task from 1, anew after each chosen value. */
        int attempt() {
            return attempt;
        }

        Round<A> round() {
            return round;
        }

        @Override
        public boolean mayBeFollowedBy(ProposerState<A> next) {
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
        public boolean mayBeFollowedBy(ProposerState<A> next) {
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

        /** The attempt that got no quorum. */
        int attempt() {
            return attempt;
        }

        /** When the next round starts. */
        double retryAtMs() {
            return retryAtMs;
        }

        @Override
        public boolean mayBeFollowedBy(ProposerState<A> next) {
            return next instanceof Idle || next instanceof InRound;
        }
    }
}
