package dewplank.lab.load;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Counts the messages between a load run and its target, so that a test can wait until none is in flight. Any thread
 * may call the methods.
 */
final class ExchangeLog implements LoadListener {
    private static final long MAX_WAIT_S = 60;

    private final List<Double> drawnDelaysMs = new ArrayList<>();
    private final List<Double> observedLatenciesMs = new ArrayList<>();
    private int sent;
    private int responsesSent;
    private int ended;

    /** Called when the target has received a request and scheduled its response. */
    synchronized void received(double delayMs) {
        drawnDelaysMs.add(delayMs);
        notifyAll();
    }

    /** Called when the target has written a response. */
    synchronized void responseSent() {
        responsesSent++;
        notifyAll();
    }

    @Override
    public synchronized void requestSent() {
        sent++;
        notifyAll();
    }

    @Override
    public synchronized void requestEnded(double intendedMs) {
        observedLatenciesMs.add(unixMs() - intendedMs);
        ended++;
        notifyAll();
    }

    private static double unixMs() {
        Instant now = Instant.now();
        return now.getEpochSecond() * 1e3 + now.getNano() / 1e6;
    }

    /** Waits until each sent request was received and each sent response has ended its request. */
    synchronized void awaitIdle() throws InterruptedException {
        long deadlineNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_WAIT_S);
        while (sent != drawnDelaysMs.size() || responsesSent != ended) {
            long remainingMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
            if (remainingMs <= 0) {
                throw new AssertionError("sent " + sent + ", received " + drawnDelaysMs.size() + ", responses sent "
                        + responsesSent + ", ended " + ended);
            }
            wait(remainingMs);
        }
    }

    synchronized void clear() {
        drawnDelaysMs.clear();
        observedLatenciesMs.clear();
    }

    /** The response delays that the target drew, ascending. */
    synchronized double[] drawnDelaysMs() {
        return sorted(drawnDelaysMs);
    }

    /** The time from the intended start to the end of each request by the system clock, ascending. */
    synchronized double[] observedLatenciesMs() {
        return sorted(observedLatenciesMs);
    }

    private static double[] sorted(List<Double> values) {
        return values.stream().mapToDouble(value -> value).sorted().toArray();
    }
}
