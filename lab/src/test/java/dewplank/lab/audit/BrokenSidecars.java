package dewplank.lab.audit;

import dewplank.emulator.ClientAttempt;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.virtualtime.EmulatedSidecar;
import dewplank.emulator.virtualtime.VirtualRun;

/** Sidecars that each break one rule on purpose, at one attempt in a hundred. */
final class BrokenSidecars {
    private static final int EVERY = 100;

    private BrokenSidecars() {}

    /** Gives the client its answer a second time. */
    static final class AnswersTwice extends EmulatedSidecar {
        AnswersTwice(VirtualRun run, int number) {
            super(run, number);
        }

        @Override
        protected void respond(ClientAttempt attempt, Type type, double value) {
            super.respond(attempt, type, value);
            if (attempt.id() % EVERY == 0) {
                super.respond(attempt, Type.FAILED, 0);
            }
        }
    }

    /** Gives a client what was made for another one. */
    static final class MixesUp extends EmulatedSidecar {
        private static final long NONE = -1;

        private long lastServed = NONE;

        MixesUp(VirtualRun run, int number) {
            super(run, number);
        }

        @Override
        protected void respond(ClientAttempt attempt, Type type, double value) {
            boolean mixesUp = type == Type.SERVED && attempt.id() % EVERY == 0 && lastServed != NONE;
            super.respond(attempt, type, mixesUp ? lastServed : value);
            lastServed = type == Type.SERVED ? attempt.id() : lastServed;
        }
    }
}
