package dewplank.dataplane;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/**
 * The heartbeats of one session that were sent and not acknowledged yet, oldest first. An acknowledgement may be
 * delayed arbitrarily, so the state that it reports is valid as of the time at which its heartbeat was sent.
 */
final class PendingHeartbeats {
    private record Pending(long sequence, double sentAt) {}

    private final int maxPending;
    private final Deque<Pending> pending = new ArrayDeque<>();

    /**
     * @param maxPending maximum number of heartbeats; beyond it, the oldest is discarded
     */
    PendingHeartbeats(int maxPending) {
        this.maxPending = maxPending;
    }

    void add(long sequence, double sentAt) {
        pending.add(new Pending(sequence, sentAt));
        if (pending.size() > maxPending) {
            pending.remove();
        }
    }

    /** When the heartbeat with exactly this sequence number was sent; empty if it is not stored. */
    OptionalDouble sentAt(long sequence) {
        return pending.stream()
                .filter(heartbeat -> heartbeat.sequence() == sequence)
                .mapToDouble(Pending::sentAt)
                .findFirst();
    }

    /**
     * Discards the heartbeats before the acknowledged one. Returns when that one was sent or, if it is not stored, when
     * the next one that is stored was sent.
     *
     * @param defaultValue the result if no heartbeat is stored
     */
    double acknowledge(long sequence, double defaultValue) {
        while (!pending.isEmpty() && pending.peek().sequence() < sequence) {
            pending.remove();
        }
        return pending.isEmpty() ? defaultValue : pending.peek().sentAt();
    }
}
