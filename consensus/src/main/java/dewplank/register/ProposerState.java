package dewplank.register;

/**
 * What the {@link Proposer} is doing. The order of the states is in {@code docs/register.md}. The states are classes,
 * not records, because the model's test copies and resets their fields.
 */
sealed interface ProposerState
        permits ProposerState.Idle, ProposerState.InRound, ProposerState.Announcing, ProposerState.BackingOff {
    /** The active task; null in {@link Idle} only. */
    Task task();

    /** Whether the proposer may enter this state next. */
    boolean mayBeFollowedBy(ProposerState next);

    /** No task is active. */
    enum Idle implements ProposerState {
        IDLE;

        @Override
        public Task task() {
            return null;
        }

        @Override
        public boolean mayBeFollowedBy(ProposerState next) {
            return next instanceof InRound;
        }
    }

    /** A round of the task is in progress. */
    final class InRound implements ProposerState {
        private final Task task;
        private final int attempt;
        private final Round round;

        InRound(Task task, int attempt, Round round) {
            this.task = task;
            this.attempt = attempt;
            this.round = round;
        }

        @Override
        public Task task() {
            return task;
        }

        /** Counts the rounds of the task from 1, anew after each chosen value. */
        int attempt() {
            return attempt;
        }

        Round round() {
            return round;
        }

        @Override
        public boolean mayBeFollowedBy(ProposerState next) {
            return !(next instanceof InRound);
        }
    }

    /** A round of the task has chosen a value, which is being learned and announced. */
    final class Announcing implements ProposerState {
        private final Task task;

        Announcing(Task task) {
            this.task = task;
        }

        @Override
        public Task task() {
            return task;
        }

        @Override
        public boolean mayBeFollowedBy(ProposerState next) {
            return next instanceof Idle || next instanceof InRound;
        }
    }

    /** The last round of the task got no quorum. */
    final class BackingOff implements ProposerState {
        private final Task task;
        private final int attempt;
        private final double retryAtMs;

        BackingOff(Task task, int attempt, double retryAtMs) {
            this.task = task;
            this.attempt = attempt;
            this.retryAtMs = retryAtMs;
        }

        @Override
        public Task task() {
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
        public boolean mayBeFollowedBy(ProposerState next) {
            return next instanceof Idle || next instanceof InRound;
        }
    }
}
