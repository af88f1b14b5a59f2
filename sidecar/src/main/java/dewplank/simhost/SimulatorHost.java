package dewplank.simhost;

import dewplank.balancer.Action;
import dewplank.balancer.Balancer;
import dewplank.balancer.Event;
import dewplank.balancer.adaptive.AdaptiveBalancer;
import dewplank.settings.Fields;
import dewplank.settings.InvalidInputException;
import dewplank.sidecar.config.BalancerSettingsReader;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Reader;
import java.io.Writer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Runs many balancers for the simulator. It reads messages as lines, passes each event to the instance that the message
 * names, and writes the instance's actions as lines.
 *
 * <p>Lines are grouped into batches. A batch starts with {@code TURN}, which states the time, and ends with
 * {@code END}, which is acknowledged. The class is used by one thread; {@link #run} blocks it until the end of input.
 */
public final class SimulatorHost {
    private static final int BUFFER_CHARS = 1 << 16;

    private final BufferedReader in;
    private final ActionEncoder out;
    private final EventDecoder decoder = new EventDecoder();
    private final Map<Integer, Balancer> instances = new HashMap<>();
    private long lineNumber;
    private boolean isInBatch;
    private double nowMs = Double.NEGATIVE_INFINITY;
    private long batch;

    public SimulatorHost(Reader in, Writer out) {
        this.in = new BufferedReader(in, BUFFER_CHARS);
        this.out = new ActionEncoder(out);
    }

    /**
     * Processes messages until the end of input.
     *
     * @throws InvalidInputException if the input violates the protocol; the message states the line number
     * @throws IOException if a stream fails
     */
    public void run() throws IOException {
        try {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                lineNumber++;
                if (!line.isEmpty()) {
                    handle(WireMessage.parse(line));
                }
            }
            if (isInBatch) {
                throw new InvalidInputException("input ends inside a batch");
            }
        } catch (InvalidInputException e) {
            throw new InvalidInputException("line " + lineNumber + ": " + e.getMessage());
        }
    }

    private void handle(WireMessage message) throws IOException {
        if (isInBatch == message.name().equals("TURN")) {
            throw new InvalidInputException(isInBatch ? "TURN inside a batch" : message.name() + " outside a batch");
        }
        switch (message.name()) {
            case "TURN" -> beginBatch(message);
            case "END" -> {
                out.acknowledge(batch);
                isInBatch = false;
            }
            case "SNAPSHOT_ROWS" -> decoder.storeEndpoints(message);
            case "CREATE" -> create(message);
            case "KILLED" -> {
                if (instances.remove(message.nonNegative(1)) == null) {
                    throw new InvalidInputException("KILLED: no instance " + message.nonNegative(1));
                }
            }
            default -> deliver(message);
        }
    }

    private void beginBatch(WireMessage message) {
        if (message.number(1) < nowMs) {
            throw new InvalidInputException("TURN: the time is earlier than that of the previous batch");
        }
        nowMs = message.number(1);
        batch = message.integer(2);
        isInBatch = true;
    }

    private void create(WireMessage message) {
        int instance = message.nonNegative(1);
        Fields settings = new Fields(message.object(3), "setting ");
        instances.put(
                instance,
                new AdaptiveBalancer(BalancerSettingsReader.read(settings), new SplittableRandom(message.integer(2))));
    }

    private void deliver(WireMessage message) throws IOException {
        Event event = decoder.event(message);
        int instance = message.nonNegative(1);
        Balancer balancer = instances.get(instance);
        if (balancer == null) {
            throw new InvalidInputException(message.name() + ": no instance " + instance);
        }
        List<Action> actions = new ArrayList<>();
        try {
            balancer.handle(nowMs, event, actions::add);
        } catch (RuntimeException e) {
            out.reportBug(instance, e);
            return;
        }
        for (Action action : actions) {
            out.write(instance, action);
        }
    }
}
