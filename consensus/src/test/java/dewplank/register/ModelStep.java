package dewplank.register;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;

/** Records what one step of one process sent, asked to store and answered. */
final class ModelStep implements Register.Effects {
    /** An answer for certain. */
    record Answer(long request, Outcome.Confirmed outcome) {}

    /** A message and where it goes. */
    record Sent(String address, RegisterMessage message) {}

    final List<Sent> sent = new ArrayList<>();
    final List<Answer> answers = new ArrayList<>();
    private final Deque<RegisterMessage> own = new ArrayDeque<>();
    private final String address;
    private final Set<Class<?>> lost;
    private DurableState pending;
    private long ticket;

    /** A step of the process at this address; messages of the kinds given never arrive. */
    ModelStep(String address, Set<Class<?>> lost) {
        this.address = address;
        this.lost = lost;
    }

    /** Hands out the next message of the process to itself, or null. */
    RegisterMessage takeOwn() {
        return own.poll();
    }

    /** Hands out the store that waits for its result, or null. */
    DurableState takePending() {
        DurableState taken = pending;
        pending = null;
        return taken;
    }

    long ticket() {
        return ticket;
    }

    @Override
    public void send(String to, RegisterMessage message) {
        boolean sweep = message instanceof StatusQuery && !((StatusQuery) message).wantsValue();
        if (to.equals(address)) {
            own.add(message);
        } else if (!sweep && !lost.contains(message.getClass())) {
            sent.add(new Sent(to, message));
        }
    }

    @Override
    public void store(long number, DurableState state) {
        ticket = number;
        pending = state;
    }

    @Override
    public void learned(RegisterValue value) {
        // The model looks at the votes themselves.
    }

    @Override
    public void completed(long request, Outcome outcome) {
        if (outcome instanceof Outcome.Confirmed) {
            answers.add(new Answer(request, (Outcome.Confirmed) outcome));
        }
    }
}
