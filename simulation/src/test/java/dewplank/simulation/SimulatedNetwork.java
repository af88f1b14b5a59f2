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
 * Connections with the properties of TCP: messages arrive in order, a partition stops them without an error, and a
 * terminated process resets its connections. Messages delayed by a partition arrive when it heals, possibly after those
 * of a later connection.
 */
final class SimulatedNetwork {
    private static final double MIN_DELAY_MS = 0.8;
    private static final double MAX_TYPICAL_EXTRA_MS = 1.5;
    private static final double MAX_SLOW_EXTRA_MS = 60;
    private static final int DELAYED_ONE_IN = 40;
    private static final double MAX_RESEND_DELAY_MS = 400;

    private final VirtualTime time;
    private final SplittableRandom random;
    private final Map<String, Machine> machines = new HashMap<>();
    private final Map<String, Integer> partitions = new HashMap<>();
    private final List<SimulatedLink> links = new ArrayList<>();
    private BiConsumer<SimulatedLink, Object> observer = (link, message) -> {};

    SimulatedNetwork(VirtualTime time, SplittableRandom random) {
        this.time = time;
        this.random = random;
    }

    void add(Machine machine) {
        machines.put(machine.ip(), machine);
    }

    Machine machineAt(InetSocketAddress address) {
        return machines.get(address.getAddress().getHostAddress());
    }

    VirtualTime time() {
        return time;
    }

    double randomDelayMs() {
        double maxExtraMs = random.nextInt(DELAYED_ONE_IN) == 0 ? MAX_SLOW_EXTRA_MS : MAX_TYPICAL_EXTRA_MS;
        return MIN_DELAY_MS + random.nextDouble() * maxExtraMs;
    }

    boolean reaches(String from, String to) {
        return from.equals(to) || partitions.isEmpty() || !partitions.containsKey(from + ">" + to);
    }

    boolean reaches(Machine from, Machine to) {
        return reaches(from.ip(), to.ip());
    }

    void partition(String from, String to) {
        partitions.merge(from + ">" + to, 1, Integer::sum);
    }

    void heal(String from, String to) {
        partitions.computeIfPresent(from + ">" + to, (k, n) -> n == 1 ? null : n - 1);
        if (reaches(from, to)) {
            links.removeIf(SimulatedLink::isFinished);
            for (SimulatedLink link : List.copyOf(links)) {
                if (link.from().ip().equals(from) && link.to().ip().equals(to)) {
                    link.resend(random.nextDouble() * MAX_RESEND_DELAY_MS);
                }
            }
        }
    }

    boolean isFullyConnected() {
        return partitions.isEmpty();
    }

    /** Sets the observer that receives each message before it is transmitted. */
    void setSendObserver(BiConsumer<SimulatedLink, Object> next) {
        observer = next;
    }

    void notifySendObserver(SimulatedLink link, Object message) {
        observer.accept(link, message);
    }

    void addLink(SimulatedLink link) {
        links.add(link);
        if (links.size() % 256 == 0) {
            links.removeIf(SimulatedLink::isFinished);
        }
    }

    /** Ends all links of a process that terminates. */
    void closeLinks(ProcessIncarnation incarnation, boolean powerLost) {
        links.removeIf(SimulatedLink::isFinished);
        for (SimulatedLink link : List.copyOf(links)) {
            if (link.incarnation() == incarnation) {
                link.endWithProcess(powerLost, random.nextBoolean());
            }
        }
    }

    /** Returns the message transport of one incarnation of a process. */
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
            SimulatedLink link = new SimulatedLink(SimulatedNetwork.this, machine, machineAt(to), incarnation, handler);
            time.after(randomDelayMs(), () -> connect(to, link));
            incarnation.after(timeoutMs, () -> {
                if (!link.isOpen()) {
                    link.close();
                }
            });
            return link;
        }

        private void connect(InetSocketAddress to, SimulatedLink link) {
            Machine remote = machineAt(to);
            if (remote == null || !remote.hasPower() || !reaches(machine, remote)) {
                return; // no reply: the caller's connection attempt times out
            }
            Listener listener = remote.listener(to);
            time.after(randomDelayMs(), () -> {
                if (!reaches(remote, machine)) {
                    return;
                }
                if (listener == null || listener.incarnation.hasEnded()) {
                    incarnation.deliver(link::close);
                } else if (!link.isClosed() && !incarnation.hasEnded()) {
                    link.establish(remote, listener.incarnation, listener.handlers);
                }
            });
        }

        @Override
        public ServerEndpoint listen(
                InetSocketAddress at, int maxConnections, Supplier<? extends MessageLink.Handler> handlers) {
            return new Listener(machine, incarnation, at, handlers);
        }
    }

    /** An address at which a process accepts connections. */
    static final class Listener implements ServerEndpoint {
        private final Machine machine;
        private final ProcessIncarnation incarnation;
        private final InetSocketAddress at;
        private final Supplier<? extends MessageLink.Handler> handlers;

        Listener(
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
            machine.setListener(at, this);
        }

        @Override
        public void close() {
            machine.setListener(at, null);
        }
    }
}
