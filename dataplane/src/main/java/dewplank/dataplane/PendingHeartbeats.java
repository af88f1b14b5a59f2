package dewplank.dataplane;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/**
 * The heartbeats of one session that were sent and not acknowledged yet, oldest first. An acknowledgement tells of the
 * time of its heartbeat at the earliest, however long it was on its way.
 */
final class PendingHeartbeats {
    private record Pending(long sequence, double sentAt) {}

    private final int maxPending;
    private final Deque<Pending> pending = new ArrayDeque<>();

    /**
     * @param maxPending beyond which the oldest is forgotten
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

    /** When exactly that heartbeat was sent; empty where that is not remembered. */
    OptionalDouble sentAt(long sequence) {
        return pending.stream()
                .filter(heartbeat -> heartbeat.sequence() == sequence)
                .mapToDouble(Pending::sentAt)
                .findFirst();
    }

    /**
     * Forgets the heartbeats before the acknowledged one, and says when that one was sent, or the next one that is
     * remembered.
     *
     * @param otherwise the answer where none is remembered
     */
    double acknowledge(long sequence, double otherwise) {
        while (!pending.isEmpty() && pending.peek().sequence() < sequence) {
            pending.remove();
        }
        return pending.isEmpty() ? otherwise : pending.peek().sentAt();
    }
}
