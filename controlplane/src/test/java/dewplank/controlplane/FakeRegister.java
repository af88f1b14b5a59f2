package dewplank.controlplane;

import dewplank.configuration.ChangeRequest;
import dewplank.configuration.ChangeResult;
import dewplank.configuration.ConfigurationDocument;
import dewplank.register.AcceptorSet;
import dewplank.register.Outcome;
import dewplank.register.RegisterValue;
import dewplank.register.RequestResult;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A register of a single process that completes requests immediately, with a configuration or an unknown outcome. */
final class FakeRegister implements OperatorApi.Configurations {
    private final List<Double> timeouts = new ArrayList<>();
    private byte[] payload;
    private boolean quorum = true;
    private boolean unresponsive;

    /** Makes all further requests end without a quorum. */
    synchronized void loseQuorum() {
        quorum = false;
    }

    /** Makes all further requests stay pending. */
    synchronized void stopResponding() {
        unresponsive = true;
    }

    /** The timeout of each request so far. */
    synchronized List<Double> timeouts() {
        return List.copyOf(timeouts);
    }

    @Override
    public synchronized void change(ChangeRequest change, double timeoutMs, Consumer<Outcome<ChangeResult>> callback) {
        timeouts.add(timeoutMs);
        if (!quorum) {
            callback.accept(new Outcome.Unknown<>("2 of 3 acceptors did not reply"));
            return;
        }
        ChangeResult result = ConfigurationDocument.decode(payload).apply(change);
        if (result instanceof ChangeResult.Accepted accepted) {
            payload = accepted.next().encode();
        }
        complete(new RequestResult.OfChange<>(result), callback);
    }

    @Override
    public synchronized void read(double timeoutMs, Consumer<Outcome<ChangeResult>> callback) {
        timeouts.add(timeoutMs);
        if (quorum) {
            complete(new RequestResult.None<>(), callback);
        } else {
            callback.accept(new Outcome.Unknown<>("2 of 3 acceptors did not reply"));
        }
    }

    private void complete(RequestResult<ChangeResult> result, Consumer<Outcome<ChangeResult>> callback) {
        if (!unresponsive) {
            RegisterValue value = new RegisterValue(AcceptorSet.of(List.of()), 1, payload);
            callback.accept(new Outcome.Confirmed<>(value, result, false));
        }
    }
}
