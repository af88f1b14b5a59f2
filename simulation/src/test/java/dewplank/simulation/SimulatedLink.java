package dewplank.simulation;

import dewplank.message.MessageLink;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;

/** One end of a connection. */
final class SimulatedLink implements MessageLink {
    private static final Object END = new Object();

    private final SimulatedNetwork network;
    private final Machine from;
    private final Machine to;
    private final ProcessIncarnation incarnation;
    private final Deque<Object> flight = new ArrayDeque<>();
    private Handler handler;
    private SimulatedLink peer;
    private double lastArrival;
    /** Messages wait, as the way to the peer is partitioned. */
    private boolean partitioned;

    private boolean established;
    private boolean over;
    /** The sender has lost power: neither data nor a close is sent any more. */
    private boolean senderLostPower;

    SimulatedLink(SimulatedNetwork network, Machine from, Machine to, ProcessIncarnation incarnation, Handler handler) {
        this.network = network;
        this.from = from;
        this.to = to;
        this.incarnation = incarnation;
        this.handler = handler;
    }

    /** The caller is connected at once; the other side accepts a little later. */
    void establish(Machine there, ProcessIncarnation peerIncarnation, Supplier<? extends Handler> handlers) {
        SimulatedLink accepted = new SimulatedLink(network, there, from, peerIncarnation, null);
        accepted.peer = this;
        peer = accepted;
        established = true;
        network.opened(this);
        network.opened(accepted);
        Runnable accept = () -> accepted.accept(handlers.get());
        transmit(accept);
        incarnation.run(() -> {
            if (!over) {
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
            network.sending(this, message);
            transmit(message);
        }
    }

    private void transmit(Object message) {
        flight.add(message);
        schedule(network.delay());
    }

    private void schedule(double delay) {
        if (!partitioned) {
            lastArrival = Math.max(lastArrival, network.time().now() + delay);
            network.time().at(lastArrival, this::arrive);
        }
    }

    private void arrive() {
        if (partitioned || flight.isEmpty()) {
            return;
        }
        if (!network.reaches(from, to)) {
            partitioned = !senderLostPower; // a sender without power sends nothing again
            if (senderLostPower) {
                flight.clear();
            }
            return;
        }
        deliver(flight.poll());
    }

    private void deliver(Object message) {
        if (peer.incarnation.isOver() || peer.over) {
            if (to.hasPower() && message != END) {
                network.time().after(network.delay(), this::reset);
            }
            return;
        }
        if (message == END) {
            peer.incarnation.run(peer::close);
        } else if (message instanceof Runnable accept) {
            peer.incarnation.run(accept);
        } else {
            peer.incarnation.run(() -> peer.received(message));
        }
    }

    private void received(Object message) {
        if (!over && handler != null) {
            handler.received(this, message);
        }
    }

    private void reset() {
        if (network.reaches(to, from)) {
            incarnation.run(this::close);
        }
    }

    /** A partition has healed: what waited is sent again after a while. */
    void resend(double delay) {
        if (partitioned) {
            partitioned = false;
            lastArrival = network.time().now() + delay;
            for (int resent = 0; resent < flight.size(); resent++) {
                network.time().at(lastArrival, this::arrive);
            }
        }
    }

    @Override
    public boolean isOpen() {
        return established && !over;
    }

    @Override
    public boolean isClosed() {
        return over;
    }

    @Override
    public void close() {
        if (over) {
            return;
        }
        over = true;
        if (peer != null) {
            transmit(END);
        }
        if (handler != null) {
            handler.closed(this);
        }
    }

    /** The process has ended: the kernel closes the connection, or resets it, or has no power to send anything. */
    void vanish(boolean powerLost, boolean reset) {
        if (over) {
            senderLostPower = powerLost;
            return;
        }
        over = true;
        senderLostPower = powerLost;
        if (peer == null) {
            return;
        }
        if (partitioned && (powerLost || reset)) {
            flight.clear();
            partitioned = false;
        }
        if (!powerLost) {
            if (reset) {
                flight.clear();
            }
            transmit(END);
        }
    }

    /** Whether nothing can arrive by it any more. */
    boolean isForgotten() {
        return over && flight.isEmpty() || senderLostPower && !partitioned && peer != null && peer.over;
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
