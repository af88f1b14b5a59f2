package dewplank.emulator;

/** Generates the identifiers of a run's attempts and requests, starting with 1. */
final class AttemptIds {
    private long last;

    long next() {
        return ++last;
    }
}
