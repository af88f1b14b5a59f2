package dewplank.controlplane;

import dewplank.configuration.ChangeRequest;
import dewplank.configuration.ChangeResult;
import dewplank.configuration.ConfigurationDocument;
import dewplank.register.AcceptorSet;
import dewplank.register.Answer;
import dewplank.register.Outcome;
import dewplank.register.RegisterValue;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A register of one process, which answers at once: a configuration, or that nothing is known. */
final class StandInRegister implements OperatorApi.Configurations {
    private final List<Double> waits = new ArrayList<>();
    private byte[] payload;
    private boolean quorum = true;
    private boolean unresponsive;

    /** From now on no majority answers. */
    synchronized void loseQuorum() {
        quorum = false;
    }

    /** From now on nothing is answered at all. */
    synchronized void stopAnswering() {
        unresponsive = true;
    }

    /** How long each call was willing to wait. */
    synchronized List<Double> waits() {
        return List.copyOf(waits);
    }

    @Override
    public synchronized void change(ChangeRequest change, double withinMs, Consumer<Outcome<ChangeResult>> then) {
        waits.add(withinMs);
        if (!quorum) {
            then.accept(new Outcome.Unknown<>("2 of 3 acceptors are silent"));
            return;
        }
        ChangeResult result = ConfigurationDocument.decode(payload).apply(change);
        if (result instanceof ChangeResult.Accepted accepted) {
            payload = accepted.next().encode();
        }
        answer(new Answer.OfChange<>(result), then);
    }

    @Override
    public synchronized void read(double withinMs, Consumer<Outcome<ChangeResult>> then) {
        waits.add(withinMs);
        if (quorum) {
            answer(new Answer.None<>(), then);
        } else {
            then.accept(new Outcome.Unknown<>("2 of 3 acceptors are silent"));
        }
    }

    private void answer(Answer<ChangeResult> answer, Consumer<Outcome<ChangeResult>> then) {
        if (!unresponsive) {
            RegisterValue value = new RegisterValue(AcceptorSet.of(List.of()), 1, payload);
            then.accept(new Outcome.Confirmed<>(value, answer, false));
        }
    }
}
