package dewplank.register;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** Processes, their network, and who asked for what. */
final class SimulatedFleet {
    private final EventQueue events = new EventQueue();
    private final HistoryCheck history = new HistoryCheck();
    private final Map<Long, Consumer<Outcome>> requests = new HashMap<>();
    private final List<SimulatedProcess> processes = new ArrayList<>();
    private final SimulatedNetwork network;
    private final SimulationRules rules;
    private long lastRequest;

    SimulatedFleet(int size, int members, SimulationRules rules, SplittableRandom random) {
        this.rules = rules;
        network = new SimulatedNetwork(events, random.split());
        List<AcceptorId> first = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            SimulatedProcess process = new SimulatedProcess("10.0.0." + index + ":1", this, random.split());
            processes.add(process);
            if (index < members) {
                first.add(process.acceptor());
            }
        }
        for (SimulatedProcess process : processes) {
            process.beginWith(AcceptorSet.of(first));
            process.start();
        }
    }

    EventQueue events() {
        return events;
    }

    double now() {
        return events.now();
    }

    HistoryCheck history() {
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

    SimulatedProcess any(SplittableRandom random) {
        return processes.get(random.nextInt(processes.size()));
    }

    String anyAddress(SplittableRandom random) {
        return any(random).address();
    }

    void deliver(String address, RegisterMessage message) {
        for (SimulatedProcess process : processes) {
            if (process.address().equals(address) && process.isUp()) {
                process.run(process.life(), () -> process.register().handleMessage(now(), message, process));
            }
        }
    }

    /** The newest chosen value any process or disk knows, or null. */
    RegisterValue newestChosen() {
        RegisterValue newest = null;
        for (SimulatedProcess process : processes) {
            RegisterValue known = process.isUp()
                    ? process.register().chosenValue()
                    : process.disk().chosenValue();
            if (known != null && (newest == null || known.revision() > newest.revision())) {
                newest = known;
            }
        }
        return newest;
    }

    /** Changes the payload at a process; the listener hears the answer, or Unknown if that life ends before. */
    void change(SimulatedProcess process, int version, int base, double patience, Consumer<Outcome> listener) {
        long floor = history.floor();
        long request = expect(process, patience, outcome -> {
            if (outcome instanceof Outcome.Confirmed) {
                Outcome.Confirmed answer = (Outcome.Confirmed) outcome;
                history.confirmed(answer.value(), floor);
                history.changeAnswered(version, answer.value(), answer.answer());
            }
            listener.accept(outcome);
        });
        Change change = VersionHistory.change(version, base);
        step(process, () -> process.register().change(now(), request, change, now() + patience, process));
    }

    void read(SimulatedProcess process, double patience, Consumer<Outcome> listener) {
        long request = expect(process, patience, checked(history.floor(), listener));
        step(process, () -> process.register().read(now(), request, now() + patience, process));
    }

    /** Replaces acceptors, expecting the set that the process knows. */
    void replace(SimulatedProcess process, List<AcceptorId> wanted, double patience, Consumer<Outcome> listener) {
        long known = process.isUp() ? process.register().acceptors().generation() : 0;
        replace(process, known, wanted, patience, listener);
    }

    void replace(
            SimulatedProcess process,
            long expected,
            List<AcceptorId> wanted,
            double patience,
            Consumer<Outcome> listener) {
        long request = expect(process, patience, checked(history.floor(), listener));
        step(process, () -> process.register()
                .reconfigure(now(), request, expected, wanted, now() + patience, process));
    }

    void completed(long request, Outcome outcome) {
        Consumer<Outcome> listener = requests.remove(request);
        if (listener != null) {
            listener.accept(outcome);
        }
    }

    private Consumer<Outcome> checked(long floor, Consumer<Outcome> listener) {
        return outcome -> {
            if (outcome instanceof Outcome.Confirmed) {
                history.confirmed(((Outcome.Confirmed) outcome).value(), floor);
            }
            listener.accept(outcome);
        };
    }

    private long expect(SimulatedProcess process, double patience, Consumer<Outcome> listener) {
        lastRequest++;
        long request = lastRequest;
        requests.put(request, listener);
        events.after(patience * 2, () -> completed(request, new Outcome.Unknown("silence")));
        return request;
    }

    private void step(SimulatedProcess process, Runnable step) {
        process.run(process.life(), step);
    }
}
