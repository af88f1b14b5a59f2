package dewplank.register;

import java.util.ArrayList;
import java.util.List;

/** Records the effects of a register. */
final class RecordedEffects implements Register.Effects<String> {
    record Sent(String address, RegisterMessage message) {}

    record Stored(long storeId, DurableState state) {}

    record Completed(long requestId, Outcome<String> outcome) {}

    final List<Sent> sent = new ArrayList<>();
    final List<Stored> stored = new ArrayList<>();
    final List<RegisterValue> learned = new ArrayList<>();
    final List<Completed> completed = new ArrayList<>();

    @Override
    public void send(String address, RegisterMessage message) {
        sent.add(new Sent(address, message));
    }

    @Override
    public void store(long storeId, DurableState state) {
        stored.add(new Stored(storeId, state));
    }

    @Override
    public void learned(RegisterValue value) {
        learned.add(value);
    }

    @Override
    public void completed(long requestId, Outcome<String> outcome) {
        completed.add(new Completed(requestId, outcome));
    }

    /** The messages of one type sent so far. */
    <T extends RegisterMessage> List<T> messages(Class<T> type) {
        List<T> found = new ArrayList<>();
        for (Sent each : sent) {
            if (type.isInstance(each.message)) {
                found.add(type.cast(each.message));
            }
        }
        return found;
    }

    /** The newest message of one type. */
    <T extends RegisterMessage> T lastMessage(Class<T> type) {
        List<T> found = messages(type);
        return found.get(found.size() - 1);
    }

    /** The id of the newest store. */
    long newestStoreId() {
        return stored.get(stored.size() - 1).storeId;
    }
}
