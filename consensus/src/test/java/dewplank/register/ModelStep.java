package dewplank.register;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;

/** Records the messages, stores and confirmations of one step of one process. */
final class ModelStep implements Register.Effects<String> {
    /** A confirmed request. */
    record Confirmation(long requestId, Outcome.Confirmed<String> outcome) {}

    /** A message and the address of its recipient. */
    record Sent(String address, RegisterMessage message) {}

    final List<Sent> sent = new ArrayList<>();
    final List<Confirmation> confirmations = new ArrayList<>();
    private final Deque<RegisterMessage> selfMessages = new ArrayDeque<>();
    private final String address;
    private final Set<Class<?>> droppedTypes;
    final List<ModelProposal> proposals = new ArrayList<>();
    private Register<String> register;
    private DurableState pending;
    private long storeId;

    /**
     * Creates a step of the process at this address. Messages of the given types are dropped. If {@link AntiEntropy} is
     * among the types, its queries are dropped, otherwise the queries of fetches.
     */
    ModelStep(String address, Set<Class<?>> droppedTypes) {
        this.address = address;
        this.droppedTypes = droppedTypes;
    }

    /** Sets the register that runs the step; its proposals are recorded when it makes them. */
    ModelStep of(Register<String> stepping) {
        register = stepping;
        return this;
    }

    private void propose(Accept accept) {
        RegisterValue read = (RegisterValue) RegisterSnapshot.at(register, "proposer", "state", "round", "read");
        ModelProposal proposal = new ModelProposal(accept.ballot(), accept.value(), read.acceptors());
        if (!proposals.contains(proposal)) {
            proposals.add(proposal);
        }
    }

    /** Removes and returns the next message of the process to itself, or null. */
    RegisterMessage takeSelfMessage() {
        return selfMessages.poll();
    }

    /** Removes and returns the state whose store has no result yet, or null. */
    DurableState takePending() {
        DurableState taken = pending;
        pending = null;
        return taken;
    }

    long storeId() {
        return storeId;
    }

    @Override
    public void send(String to, RegisterMessage message) {
        boolean isAntiEntropyDropped = droppedTypes.contains(AntiEntropy.class);
        boolean isDroppedQuery = message instanceof StatusQuery query && query.wantsValue() != isAntiEntropyDropped;
        if (message instanceof Accept accept) {
            propose(accept);
        }
        if (to.equals(address)) {
            selfMessages.add(message);
        } else if (!isDroppedQuery && !droppedTypes.contains(message.getClass())) {
            sent.add(new Sent(to, message));
        }
    }

    @Override
    public void store(long id, DurableState state) {
        storeId = id;
        pending = state;
    }

    @Override
    public void learned(RegisterValue value) {
        // The model checks the votes themselves.
    }

    @Override
    public void completed(long requestId, Outcome<String> outcome) {
        if (outcome instanceof Outcome.Confirmed<String> confirmed) {
            confirmations.add(new Confirmation(requestId, confirmed));
        }
    }
}
