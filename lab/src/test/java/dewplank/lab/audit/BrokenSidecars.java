package dewplank.lab.audit;

import dewplank.emulator.ClientAttempt;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.virtualtime.EmulatedSidecar;
import dewplank.emulator.virtualtime.VirtualRun;

/** Sidecars that deliberately violate one rule in every hundredth attempt. */
final class BrokenSidecars {
    private static final int DEFECT_INTERVAL = 100;

    private BrokenSidecars() {}

    /** Sends the client a second response. */
    static final class RespondsTwice extends EmulatedSidecar {
        RespondsTwice(VirtualRun run, int number) {
            super(run, number);
        }

        @Override
        protected void respond(ClientAttempt attempt, Type type, double value) {
            super.respond(attempt, type, value);
            if (attempt.id() % DEFECT_INTERVAL == 0) {
                super.respond(attempt, Type.FAILED, 0);
            }
        }
    }

    /** Sends a client the response to another request. */
    static final class MixesUpResponses extends EmulatedSidecar {
        private static final long NONE = -1;

        private long lastServed = NONE;

        MixesUpResponses(VirtualRun run, int number) {
            super(run, number);
        }

        @Override
        protected void respond(ClientAttempt attempt, Type type, double value) {
            boolean mixesUp = type == Type.SERVED && attempt.id() % DEFECT_INTERVAL == 0 && lastServed != NONE;
            super.respond(attempt, type, mixesUp ? lastServed : value);
            lastServed = type == Type.SERVED ? attempt.id() : lastServed;
        }
    }
}
