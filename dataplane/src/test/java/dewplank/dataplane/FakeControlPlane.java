package dewplank.dataplane;

import dewplank.message.CorruptFrameException;
import dewplank.message.FleetMessages;
import dewplank.message.HeartbeatAck;
import dewplank.message.MessageCodec;
import dewplank.message.QuotaRequest;
import dewplank.message.SessionHeartbeat;
import dewplank.message.SessionOpen;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in for a control plane: the test sends the updates and the replies about tokens, it sends the acks of
 * heartbeats. Its waits go by the test's clock.
 */
final class FakeControlPlane implements Closeable {
    private static final int BACKLOG = 50;
    private static final int BUFFER_BYTES = 4_096;

    /** Waits by the test's clock until a condition holds. */
    interface Waiter {
        void await(Callable<Boolean> reached) throws Exception;
    }

    private final Waiter waiter;
    private final ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    /** Those that the test has not taken. */
    private final BlockingQueue<Session> sessions = new LinkedBlockingQueue<>();
    /** All of them, in the order in which they came. */
    private final List<Session> acceptedSessions = new CopyOnWriteArrayList<>();

    private volatile boolean sendsAcks = true;
    private volatile boolean withQuorum = true;
    private volatile List<String> controlAddresses = List.of();

    FakeControlPlane(Waiter waiter) throws IOException {
        this.waiter = waiter;
        background(this::accept);
    }

    private void accept() throws IOException {
        while (true) {
            Session session = new Session(listener.accept());
            sessions.add(session);
            acceptedSessions.add(session);
            background(session::read);
        }
    }

    /** One session, as the control plane sees it. */
    final class Session {
        private final Socket socket;
        private final MessageCodec codec = FleetMessages.codec();
        private final BlockingQueue<SessionOpen> opened = new LinkedBlockingQueue<>();
        private final BlockingQueue<SessionHeartbeat> heartbeats = new LinkedBlockingQueue<>();
        private final BlockingQueue<QuotaRequest> quotaRequests = new LinkedBlockingQueue<>();
        private final AtomicLong sentCount = new AtomicLong();
        private final AtomicLong receivedCount = new AtomicLong();
        private volatile boolean ended;

        Session(Socket socket) {
            this.socket = socket;
        }

        private void read() throws IOException {
            MessageCodec.Decoder reader = codec.newDecoder();
            byte[] bytes = new byte[BUFFER_BYTES];
            InputStream input = socket.getInputStream();
            try {
                for (int length = input.read(bytes); length >= 0; length = input.read(bytes)) {
                    receiveAll(reader, ByteBuffer.wrap(bytes, 0, length));
                }
            } catch (CorruptFrameException e) {
                throw new IOException(e);
            } finally {
                ended = true;
            }
        }

        private void receiveAll(MessageCodec.Decoder reader, ByteBuffer piece)
                throws IOException, CorruptFrameException {
            for (Object message = reader.decode(piece); message != null; message = reader.decode(piece)) {
                receive(message);
                receivedCount.incrementAndGet(); // its ack was counted before it
            }
        }

        private void receive(Object message) throws IOException {
            if (message instanceof SessionOpen open) {
                opened.add(open);
            } else if (message instanceof SessionHeartbeat heartbeat) {
                heartbeats.add(heartbeat);
                if (sendsAcks) {
                    send(new HeartbeatAck(heartbeat.sequence, withQuorum, controlAddresses));
                }
            } else if (message instanceof QuotaRequest request) {
                quotaRequests.add(request);
            }
        }

        synchronized void send(Object message) throws IOException {
            ByteBuffer frame = codec.encode(message);
            socket.getOutputStream().write(frame.array(), 0, frame.limit());
            sentCount.incrementAndGet();
        }

        /** Messages that were sent completely. */
        long sentCount() {
            return sentCount.get();
        }

        /** Messages that were received, and acknowledged where they are heartbeats. */
        long receivedCount() {
            return receivedCount.get();
        }

        /** The first half of the message's bytes. */
        synchronized void sendHalf(Object message) throws IOException {
            ByteBuffer frame = codec.encode(message);
            socket.getOutputStream().write(frame.array(), 0, frame.limit() / 2);
        }

        /** Where the other side may have ended the session just now. */
        void sendIfOpen(Object message) {
            try {
                send(message);
            } catch (IOException ended) {
                // the reader notices the end
            }
        }

        SessionOpen open() throws Exception {
            return next(opened);
        }

        SessionHeartbeat heartbeat() throws Exception {
            return next(heartbeats);
        }

        /** The next heartbeat that reports this version of the configuration as in force. */
        SessionHeartbeat heartbeatWithVersion(long configurationVersion) throws Exception {
            SessionHeartbeat heartbeat = heartbeat();
            while (heartbeat.configurationVersion != configurationVersion) {
                heartbeat = heartbeat();
            }
            return heartbeat;
        }

        /** The next request for tokens that the test has not taken; null where there is none. */
        QuotaRequest takeQuotaRequest() {
            return quotaRequests.poll();
        }

        boolean hasQuotaRequest() {
            return !quotaRequests.isEmpty();
        }

        void awaitEnd() throws Exception {
            waiter.await(this::isEnded);
        }

        boolean isEnded() {
            return ended;
        }

        void reset() throws IOException {
            ended = true;
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    private <T> T next(BlockingQueue<T> queue) throws Exception {
        waiter.await(() -> !queue.isEmpty());
        return queue.remove();
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void background(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // one of both ends has closed it
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    InetSocketAddress socketAddress() {
        return SocketAddresses.parse(address());
    }

    /** The session that was accepted after so many others; null where there were not so many yet. */
    Session acceptedSession(int index) {
        return index < acceptedSessions.size() ? acceptedSessions.get(index) : null;
    }

    /** The next session that is opened here. */
    Session session() throws Exception {
        return next(sessions);
    }

    boolean hasNoFurtherSession() {
        return sessions.isEmpty();
    }

    FakeControlPlane withoutAcks() {
        sendsAcks = false;
        return this;
    }

    FakeControlPlane withoutQuorum() {
        withQuorum = false;
        return this;
    }

    FakeControlPlane naming(String... addresses) {
        controlAddresses = List.of(addresses);
        return this;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Session session : acceptedSessions) {
            session.socket.close();
        }
    }
}
