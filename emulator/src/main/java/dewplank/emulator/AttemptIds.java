package dewplank.emulator;

/** Numbers the attempts and requests of a run, from 1 on. */
final class AttemptIds {
    private long last;

    long next() {
        return ++last;
    }
}
