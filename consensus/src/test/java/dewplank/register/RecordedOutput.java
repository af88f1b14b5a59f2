package dewplank.register;

import java.util.ArrayList;
import java.util.List;

/** Keeps what a register wanted done. */
final class RecordedOutput implements Register.Effects {
    record Sent(String address, RegisterMessage message) {}

    record Stored(long ticket, DurableState state) {}

    record Completed(long request, Outcome outcome) {}

    final List<Sent> sent = new ArrayList<>();
    final List<Stored> stored = new ArrayList<>();
    final List<RegisterValue> learned = new ArrayList<>();
    final List<Completed> completed = new ArrayList<>();

    @Override
    public void send(String address, RegisterMessage message) {
        sent.add(new Sent(address, message));
    }

    @Override
    public void store(long ticket, DurableState state) {
        stored.add(new Stored(ticket, state));
    }

    @Override
    public void learned(RegisterValue value) {
        learned.add(value);
    }

    @Override
    public void completed(long request, Outcome outcome) {
        completed.add(new Completed(request, outcome));
    }

    /** The messages of one kind sent so far. */
    <T extends RegisterMessage> List<T> messages(Class<T> kind) {
        List<T> found = new ArrayList<>();
        for (Sent each : sent) {
            if (kind.isInstance(each.message)) {
                found.add(kind.cast(each.message));
            }
        }
        return found;
    }

    /** The ticket of the newest store. */
    long newestTicket() {
        return stored.get(stored.size() - 1).ticket;
    }
}
