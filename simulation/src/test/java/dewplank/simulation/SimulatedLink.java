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
    private boolean held;
    private boolean established;
    private boolean over;
    private boolean silent;

    SimulatedLink(SimulatedNetwork network, Machine from, Machine to, ProcessIncarnation incarnation, Handler handler) {
        this.network = network;
        this.from = from;
        this.to = to;
        this.incarnation = incarnation;
        this.handler = handler;
    }

    /** The dialler hears that it is connected; the other side takes the connection a little later. */
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
            transmit(message);
        }
    }

    private void transmit(Object message) {
        flight.add(message);
        schedule(network.delay());
    }

    private void schedule(double delay) {
        if (!held) {
            lastArrival = Math.max(lastArrival, network.time().now() + delay);
            network.time().at(lastArrival, this::arrive);
        }
    }

    private void arrive() {
        if (held || flight.isEmpty()) {
            return;
        }
        if (!network.reaches(from, to)) {
            held = !silent; // who has lost power sends nothing again
            if (silent) {
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

    /** A cut is mended: what it held up comes after a while. */
    void resend(double delay) {
        if (held) {
            held = false;
            lastArrival = network.time().now() + delay;
            for (int i = 0; i < flight.size(); i++) {
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

    /** The process has ended: the machine's kernel closes the connection, or resets it, or has no power to say so. */
    void vanish(boolean powerLost, boolean reset) {
        if (over) {
            silent = powerLost;
            return;
        }
        over = true;
        silent = powerLost;
        if (peer == null) {
            return;
        }
        if (held && (powerLost || reset)) {
            flight.clear();
            held = false;
        }
        if (!powerLost) {
            if (reset) {
                flight.clear();
            }
            transmit(END);
        }
    }

    /** Whether nothing comes of it any more. */
    boolean isForgotten() {
        return over && flight.isEmpty() || silent && !held && peer != null && peer.over;
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
