package dewplank.dataplane;

import dewplank.exchange.OnLoop;
import dewplank.message.MessageLink;
import dewplank.message.MessageTransport;
import dewplank.message.QuotaReply;
import dewplank.message.QuotaRequest;
import dewplank.net.EventLoop;
import dewplank.net.ServerEndpoint;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Supplier;

/**
 * The only control plane to which a forwarder's data plane sends quota requests, without a network. The test sends the
 * replies.
 */
final class ScriptedControlPlane {
    private static final String ADDRESS = "127.0.0.1:1";

    private final EventLoop loop;
    private final QuotaClient quotas;
    private final BlockingQueue<QuotaRequest> requests = new LinkedBlockingQueue<>();

    private ScriptedControlPlane(EventLoop loop, QuotaClient quotas) {
        this.loop = loop;
        this.quotas = quotas;
    }

    /** Creates a control plane that receives all further quota requests of the forwarder's data plane. */
    static ScriptedControlPlane connect(ForwarderFixture fixture) throws Exception {
        ScriptedControlPlane controlPlane = new ScriptedControlPlane(fixture.loop, fixture.quotas);
        ControlSession session = new ControlSession(
                fixture.loop, null, fixture.metadata, SessionFixture.SELF, SessionParameters.DEFAULTS, ADDRESS);
        session.connect(controlPlane.new RecordingTransport());
        OnLoop.run(fixture.loop, () -> fixture.quotas.connect(tried -> Optional.of(session)));
        return controlPlane;
    }

    /** Waits for the next quota request. */
    QuotaRequest nextRequest() throws Exception {
        OnLoop.await(loop, this::hasRequest);
        return requests.remove();
    }

    boolean hasRequest() {
        return !requests.isEmpty();
    }

    void reply(QuotaReply reply) throws Exception {
        OnLoop.run(loop, () -> quotas.onReply(reply));
    }

    /** Opens links that are established from the start and record what is sent. */
    private final class RecordingTransport implements MessageTransport {
        @Override
        public MessageLink open(InetSocketAddress to, double timeoutMs, MessageLink.Handler handler) {
            return new RecordingLink();
        }

        @Override
        public ServerEndpoint listen(
                InetSocketAddress at, int maxConnections, Supplier<? extends MessageLink.Handler> handlers) {
            throw new UnsupportedOperationException("this transport does not listen");
        }
    }

    private final class RecordingLink implements MessageLink {
        @Override
        public void send(Object message) {
            requests.add((QuotaRequest) message);
        }

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public boolean isClosed() {
            return false;
        }

        @Override
        public void close() {}
    }
}
