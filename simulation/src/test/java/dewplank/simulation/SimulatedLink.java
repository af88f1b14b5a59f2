package dewplank.simulation;

import dewplank.message.MessageLink;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;

/** One end of a connection. */
final class SimulatedLink implements MessageLink {
    private static final Object CLOSE_MARKER = new Object();

    private final SimulatedNetwork network;
    private final Machine from;
    private final Machine to;
    private final ProcessIncarnation incarnation;
    private final Deque<Object> inFlight = new ArrayDeque<>();
    private Handler handler;
    private SimulatedLink peer;
    private double lastArrivalMs;
    /** Whether messages are delayed because a partition separates the sender from the peer. */
    private boolean partitioned;

    private boolean established;
    private boolean closed;
    /** Whether the sender has lost power, so that it sends neither data nor a close. */
    private boolean senderLostPower;

    SimulatedLink(SimulatedNetwork network, Machine from, Machine to, ProcessIncarnation incarnation, Handler handler) {
        this.network = network;
        this.from = from;
        this.to = to;
        this.incarnation = incarnation;
        this.handler = handler;
    }

    /** Connects the caller immediately; the other side accepts after a network delay. */
    void establish(Machine remote, ProcessIncarnation peerIncarnation, Supplier<? extends Handler> handlers) {
        SimulatedLink accepted = new SimulatedLink(network, remote, from, peerIncarnation, null);
        accepted.peer = this;
        peer = accepted;
        established = true;
        network.addLink(this);
        network.addLink(accepted);
        Runnable accept = () -> accepted.accept(handlers.get());
        transmit(accept);
        incarnation.deliver(() -> {
            if (!closed) {
                handler.opened(this);
            }
        });
    }

    private void accept(Handler accepting) {
        handler = accepting;
        established = true;
        handler.opened(this);
    }

    @Override
    public void send(Object message) {
        if (isOpen()) {
            network.notifySendObserver(this, message);
            transmit(message);
        }
    }

    private void transmit(Object message) {
        inFlight.add(message);
        schedule(network.randomDelayMs());
    }

    private void schedule(double delayMs) {
        if (!partitioned) {
            lastArrivalMs = Math.max(lastArrivalMs, network.time().now() + delayMs);
            network.time().at(lastArrivalMs, this::arrive);
        }
    }

    private void arrive() {
        if (partitioned || inFlight.isEmpty()) {
            return;
        }
        if (!network.reaches(from, to)) {
            partitioned = !senderLostPower; // a sender without power does not retransmit
            if (senderLostPower) {
                inFlight.clear();
            }
            return;
        }
        deliver(inFlight.poll());
    }

    private void deliver(Object message) {
        if (peer.incarnation.hasEnded() || peer.closed) {
            if (to.hasPower() && message != CLOSE_MARKER) {
                network.time().after(network.randomDelayMs(), this::reset);
            }
            return;
        }
        if (message == CLOSE_MARKER) {
            peer.incarnation.deliver(peer::close);
        } else if (message instanceof Runnable accept) {
            peer.incarnation.deliver(accept);
        } else {
            peer.incarnation.deliver(() -> peer.receive(message));
        }
    }

    private void receive(Object message) {
        if (!closed && handler != null) {
            handler.received(this, message);
        }
    }

    private void reset() {
        if (network.reaches(to, from)) {
            incarnation.deliver(this::close);
        }
    }

    /** Resends the delayed messages after the given delay when a partition has healed. */
    void resend(double delayMs) {
        if (partitioned) {
            partitioned = false;
            lastArrivalMs = network.time().now() + delayMs;
            for (int resent = 0; resent < inFlight.size(); resent++) {
                network.time().at(lastArrivalMs, this::arrive);
            }
        }
    }

    @Override
    public boolean isOpen() {
        return established && !closed;
    }

    @Override
    public boolean isClosed() {
        return closed;
    }

    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (peer != null) {
            transmit(CLOSE_MARKER);
        }
        if (handler != null) {
            handler.closed(this);
        }
    }

    /** Ends the connection of a terminated process: the kernel closes or resets it, unless power is lost. */
    void endWithProcess(boolean powerLost, boolean reset) {
        if (closed) {
            senderLostPower = powerLost;
            return;
        }
        closed = true;
        senderLostPower = powerLost;
        if (peer == null) {
            return;
        }
        if (partitioned && (powerLost || reset)) {
            inFlight.clear();
            partitioned = false;
        }
        if (!powerLost) {
            if (reset) {
                inFlight.clear();
            }
            transmit(CLOSE_MARKER);
        }
    }

    /** Whether no more messages can arrive over this link. */
    boolean isFinished() {
        return closed && inFlight.isEmpty() || senderLostPower && !partitioned && peer != null && peer.closed;
    }

    Machine from() {
        return from;
    }

    Machine to() {
        return to;
    }

    ProcessIncarnation incarnation() {
        return incarnation;
    }
}
