package dewplank.lab.load;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Counts what a load run and its target did, so that a test can wait until no message is in flight between them. Any
 * thread may call it.
 */
final class ExchangeLog implements LoadListener {
    private static final long MAX_WAIT_S = 60;

    private final List<Double> drawnMs = new ArrayList<>();
    private final List<Double> observedMs = new ArrayList<>();
    private int sent;
    private int answersSent;
    private int ended;

    /** The target received a request and has scheduled its answer. */
    synchronized void received(double answerTimeMs) {
        drawnMs.add(answerTimeMs);
        notifyAll();
    }

    /** The target wrote an answer. */
    synchronized void answerSent() {
        answersSent++;
        notifyAll();
    }

    @Override
    public synchronized void requestSent() {
        sent++;
        notifyAll();
    }

    @Override
    public synchronized void requestEnded(double intendedMs) {
        observedMs.add(unixMs() - intendedMs);
        ended++;
        notifyAll();
    }

    private static double unixMs() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1e3 + now.getNano() / 1e6;
    }

    /** Waits until each request sent was received, and each answer sent has ended its request. */
    synchronized void awaitSettled() throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_S);
        while (sent != drawnMs.size() || answersSent != ended) {
            long leftMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
            if (leftMs <= 0) {
                throw new AssertionError("sent " + sent + ", received " + drawnMs.size() + ", answers sent "
                        + answersSent + ", ended " + ended);
            }
            wait(leftMs);
        }
    }

    synchronized void clear() {
        drawnMs.clear();
        observedMs.clear();
    }

    /** The times that the target drew, ascending. */
    synchronized double[] drawnMs() {
        return sorted(drawnMs);
    }

    /** From each request's intended start to its end, by the system's own clock, ascending. */
    synchronized double[] observedMs() {
        return sorted(observedMs);
    }

    private static double[] sorted(List<Double> values) {
        return values.stream().mapToDouble(value -> value).sorted().toArray();
    }
}
