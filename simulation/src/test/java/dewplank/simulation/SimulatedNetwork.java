package dewplank.simulation;

import dewplank.message.MessageLink;
import dewplank.message.MessageTransport;
import dewplank.net.ServerEndpoint;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Connections as TCP gives them: in order, silent when cut, reset by a process that is gone. What a cut holds up comes
 * when it is mended, also after what a later connection brought.
 */
final class SimulatedNetwork {
    private static final double MIN_MS = 0.8;
    private static final double TYPICAL_EXTRA_MS = 1.5;
    private static final double SLOW_EXTRA_MS = 60;
    private static final int DELAYED_ONE_IN = 40;
    private static final double RESENT_AFTER_MS = 400;

    private final VirtualTime time;
    private final SplittableRandom random;
    private final Map<String, Machine> machines = new HashMap<>();
    private final Map<String, Integer> cuts = new HashMap<>();
    private final List<SimulatedLink> links = new ArrayList<>();
    private BiConsumer<SimulatedLink, Object> observer = (link, message) -> {};

    SimulatedNetwork(VirtualTime time, SplittableRandom random) {
        this.time = time;
        this.random = random;
    }

    void add(Machine machine) {
        machines.put(machine.ip(), machine);
    }

    Machine at(InetSocketAddress address) {
        return machines.get(address.getAddress().getHostAddress());
    }

    VirtualTime time() {
        return time;
    }

    double delay() {
        double maxExtraMs = random.nextInt(DELAYED_ONE_IN) == 0 ? SLOW_EXTRA_MS : TYPICAL_EXTRA_MS;
        return MIN_MS + random.nextDouble() * maxExtraMs;
    }

    boolean reaches(String from, String to) {
        return from.equals(to) || cuts.isEmpty() || !cuts.containsKey(from + ">" + to);
    }

    boolean reaches(Machine from, Machine to) {
        return reaches(from.ip(), to.ip());
    }

    void cut(String from, String to) {
        cuts.merge(from + ">" + to, 1, Integer::sum);
    }

    void heal(String from, String to) {
        cuts.computeIfPresent(from + ">" + to, (k, n) -> n == 1 ? null : n - 1);
        if (reaches(from, to)) {
            links.removeIf(SimulatedLink::isForgotten);
            for (SimulatedLink link : List.copyOf(links)) {
                if (link.from().ip().equals(from) && link.to().ip().equals(to)) {
                    link.resend(random.nextDouble() * RESENT_AFTER_MS);
                }
            }
        }
    }

    boolean isFullyConnected() {
        return cuts.isEmpty();
    }

    /** Told of each message that is sent, before it is on its way. */
    void onSending(BiConsumer<SimulatedLink, Object> next) {
        observer = next;
    }

    void sending(SimulatedLink link, Object message) {
        observer.accept(link, message);
    }

    void opened(SimulatedLink link) {
        links.add(link);
        if (links.size() % 256 == 0) {
            links.removeIf(SimulatedLink::isForgotten);
        }
    }

    /** All links of a process whose life ends. */
    void ended(ProcessIncarnation incarnation, boolean powerLost) {
        links.removeIf(SimulatedLink::isForgotten);
        for (SimulatedLink link : List.copyOf(links)) {
            if (link.incarnation() == incarnation) {
                link.vanish(powerLost, random.nextBoolean());
            }
        }
    }

    /** The sockets of one life of a process. */
    MessageTransport transport(Machine machine, ProcessIncarnation incarnation) {
        return new Transport(machine, incarnation);
    }

    private final class Transport implements MessageTransport {
        private final Machine machine;
        private final ProcessIncarnation incarnation;

        Transport(Machine machine, ProcessIncarnation incarnation) {
            this.machine = machine;
            this.incarnation = incarnation;
        }

        @Override
        public MessageLink open(InetSocketAddress to, double timeoutMs, MessageLink.Handler handler) {
            SimulatedLink link = new SimulatedLink(SimulatedNetwork.this, machine, at(to), incarnation, handler);
            time.after(delay(), () -> arriveAt(to, link));
            incarnation.after(timeoutMs, () -> {
                if (!link.isOpen()) {
                    link.close();
                }
            });
            return link;
        }

        private void arriveAt(InetSocketAddress to, SimulatedLink link) {
            Machine there = at(to);
            if (there == null || !there.hasPower() || !reaches(machine, there)) {
                return; // silence, until the dialler gives up
            }
            Listening listening = there.listening(to);
            time.after(delay(), () -> {
                if (!reaches(there, machine)) {
                    return;
                }
                if (listening == null || listening.incarnation.isOver()) {
                    incarnation.run(link::close);
                } else if (!link.isClosed() && !incarnation.isOver()) {
                    link.establish(there, listening.incarnation, listening.handlers);
                }
            });
        }

        @Override
        public ServerEndpoint listen(
                InetSocketAddress at, int maxConnections, Supplier<? extends MessageLink.Handler> handlers) {
            return new Listening(machine, incarnation, at, handlers);
        }
    }

    /** Where a process takes connections. */
    static final class Listening implements ServerEndpoint {
        private final Machine machine;
        private final ProcessIncarnation incarnation;
        private final InetSocketAddress at;
        private final Supplier<? extends MessageLink.Handler> handlers;

        Listening(
                Machine machine,
                ProcessIncarnation incarnation,
                InetSocketAddress at,
                Supplier<? extends MessageLink.Handler> handlers) {
            this.machine = machine;
            this.incarnation = incarnation;
            this.at = at;
            this.handlers = handlers;
        }

        @Override
        public void accept() {
            machine.listens(at, this);
        }

        @Override
        public void close() {
            machine.listens(at, null);
        }
    }
}
