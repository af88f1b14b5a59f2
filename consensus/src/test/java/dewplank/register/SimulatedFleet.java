package dewplank.register;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** The simulated processes, their network, and the requests without an outcome. */
final class SimulatedFleet {
    private final EventQueue events = new EventQueue();
    private final HistoryChecker history = new HistoryChecker();
    private final Map<Long, Consumer<Outcome<String>>> requests = new HashMap<>();
    private final List<SimulatedProcess> processes = new ArrayList<>();
    private final SimulatedNetwork network;
    private final SimulationRules rules;
    private long lastRequestId;

    SimulatedFleet(int size, int members, SimulationRules rules, SplittableRandom random) {
        this.rules = rules;
        network = new SimulatedNetwork(events, random.split());
        List<AcceptorId> initial = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            SimulatedProcess process = new SimulatedProcess("10.0.0." + index + ":1", this, random.split());
            processes.add(process);
            if (index < members) {
                initial.add(process.acceptor());
            }
        }
        for (SimulatedProcess process : processes) {
            process.setInitialAcceptors(AcceptorSet.of(initial));
            process.start();
        }
    }

    EventQueue events() {
        return events;
    }

    double nowMs() {
        return events.nowMs();
    }

    HistoryChecker history() {
        return history;
    }

    SimulatedNetwork network() {
        return network;
    }

    SimulationRules rules() {
        return rules;
    }

    List<SimulatedProcess> processes() {
        return processes;
    }

    SimulatedProcess process(int index) {
        return processes.get(index);
    }

    /** The acceptors of the given processes, in this order. */
    List<AcceptorId> acceptors(int... indices) {
        List<AcceptorId> acceptors = new ArrayList<>();
        for (int index : indices) {
            acceptors.add(process(index).acceptor());
        }
        return acceptors;
    }

    SimulatedProcess any(SplittableRandom random) {
        return processes.get(random.nextInt(processes.size()));
    }

    String anyAddress(SplittableRandom random) {
        return any(random).address();
    }

    void deliver(String address, RegisterMessage message) {
        for (SimulatedProcess process : processes) {
            if (process.address().equals(address) && process.isUp()) {
                process.run(process.incarnation(), () -> process.register().handleMessage(nowMs(), message, process));
            }
        }
    }

    /** The newest chosen value in any process or on any disk, or null. */
    RegisterValue newestChosen() {
        RegisterValue newest = null;
        for (SimulatedProcess process : processes) {
            RegisterValue chosen = process.isUp()
                    ? process.register().chosenValue()
                    : process.disk().chosenValue();
            if (chosen != null && (newest == null || chosen.revision() > newest.revision())) {
                newest = chosen;
            }
        }
        return newest;
    }

    /** Changes the payload at a process. The listener receives the outcome, unknown if the incarnation ends first. */
    void change(SimulatedProcess process, int version, int base, double timeoutMs, Consumer<Outcome<String>> listener) {
        long minRevision = history.minRevision();
        long requestId = track(timeoutMs, outcome -> {
            if (outcome instanceof Outcome.Confirmed<String> confirmed) {
                history.observeConfirmed(confirmed.value(), minRevision);
                history.observeChangeResult(version, confirmed.value(), confirmed.result());
            }
            listener.accept(outcome);
        });
        Change<String> change = VersionHistory.change(version, base);
        run(process, () -> process.register().change(nowMs(), requestId, change, nowMs() + timeoutMs, process));
    }

    void read(SimulatedProcess process, double timeoutMs, Consumer<Outcome<String>> listener) {
        long requestId = track(timeoutMs, checked(history.minRevision(), listener));
        run(process, () -> process.register().read(nowMs(), requestId, nowMs() + timeoutMs, process));
    }

    /** Replaces the acceptors; the expected generation is that of the process. */
    void reconfigure(
            SimulatedProcess process, List<AcceptorId> target, double timeoutMs, Consumer<Outcome<String>> listener) {
        long current = process.isUp() ? process.register().acceptors().generation() : 0;
        reconfigure(process, current, target, timeoutMs, listener);
    }

    void reconfigure(
            SimulatedProcess process,
            long expectedGeneration,
            List<AcceptorId> target,
            double timeoutMs,
            Consumer<Outcome<String>> listener) {
        long requestId = track(timeoutMs, checked(history.minRevision(), listener));
        run(process, () -> process.register()
                .reconfigure(nowMs(), requestId, expectedGeneration, target, nowMs() + timeoutMs, process));
    }

    void completed(long requestId, Outcome<String> outcome) {
        Consumer<Outcome<String>> listener = requests.remove(requestId);
        if (listener != null) {
            listener.accept(outcome);
        }
    }

    private Consumer<Outcome<String>> checked(long minRevision, Consumer<Outcome<String>> listener) {
        return outcome -> {
            if (outcome instanceof Outcome.Confirmed<String> confirmed) {
                history.observeConfirmed(confirmed.value(), minRevision);
            }
            listener.accept(outcome);
        };
    }

    private long track(double timeoutMs, Consumer<Outcome<String>> listener) {
        lastRequestId++;
        long requestId = lastRequestId;
        requests.put(requestId, listener);
        events.after(timeoutMs * 2, () -> completed(requestId, new Outcome.Unknown<>("no outcome was reported")));
        return requestId;
    }

    private void run(SimulatedProcess process, Runnable step) {
        process.run(process.incarnation(), step);
    }
}
