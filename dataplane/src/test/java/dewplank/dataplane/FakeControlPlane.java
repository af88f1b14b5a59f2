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
 * A fake control plane. The test sends the updates and the quota replies; the fake acknowledges heartbeats by itself.
 * Waits use the test's clock.
 */
final class FakeControlPlane implements Closeable {
    private static final int BACKLOG = 50;
    private static final int BUFFER_BYTES = 4_096;

    /** Advances the test's clock until a condition holds. */
    interface Waiter {
        void await(Callable<Boolean> reached) throws Exception;
    }

    private final Waiter waiter;
    private final ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    /** The sessions that the test has not taken yet. */
    private final BlockingQueue<Session> sessions = new LinkedBlockingQueue<>();
    /** All sessions in the order in which they were accepted. */
    private final List<Session> acceptedSessions = new CopyOnWriteArrayList<>();

    private volatile boolean sendsAcks = true;
    private volatile boolean withQuorum = true;
    private volatile List<String> controlAddresses = List.of();

    FakeControlPlane(Waiter waiter) throws IOException {
        this.waiter = waiter;
        runInBackground(this::accept);
    }

    private void accept() throws IOException {
        while (true) {
            Session session = new Session(listener.accept());
            sessions.add(session);
            acceptedSessions.add(session);
            runInBackground(session::read);
        }
    }

    /** The control plane's end of a session. */
    final class Session {
        private final Socket socket;
        private final MessageCodec codec = FleetMessages.codec();
        private final BlockingQueue<SessionOpen> opens = new LinkedBlockingQueue<>();
        private final BlockingQueue<SessionHeartbeat> heartbeats = new LinkedBlockingQueue<>();
        private final BlockingQueue<QuotaRequest> quotaRequests = new LinkedBlockingQueue<>();
        private final AtomicLong sentCount = new AtomicLong();
        private final AtomicLong receivedCount = new AtomicLong();
        private volatile boolean closed;

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
                closed = true;
            }
        }

        private void receiveAll(MessageCodec.Decoder reader, ByteBuffer piece)
                throws IOException, CorruptFrameException {
            for (Object message = reader.decode(piece); message != null; message = reader.decode(piece)) {
                receive(message);
                receivedCount.incrementAndGet(); // its acknowledgement has been counted already
            }
        }

        private void receive(Object message) throws IOException {
            if (message instanceof SessionOpen open) {
                opens.add(open);
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

        /** The number of messages that were sent completely. */
        long sentCount() {
            return sentCount.get();
        }

        /** The number of messages that were received; any heartbeat among them has been acknowledged. */
        long receivedCount() {
            return receivedCount.get();
        }

        /** Sends the first half of the message's bytes. */
        synchronized void sendHalf(Object message) throws IOException {
            ByteBuffer frame = codec.encode(message);
            socket.getOutputStream().write(frame.array(), 0, frame.limit() / 2);
        }

        /** Sends the message unless the other end has closed the session. */
        void sendIfOpen(Object message) {
            try {
                send(message);
            } catch (IOException closed) {
                // the reading thread detects the close
            }
        }

        SessionOpen open() throws Exception {
            return next(opens);
        }

        SessionHeartbeat heartbeat() throws Exception {
            return next(heartbeats);
        }

        /** Waits for a heartbeat that reports this version of the configuration as in force. */
        SessionHeartbeat heartbeatWithVersion(long configurationVersion) throws Exception {
            SessionHeartbeat heartbeat = heartbeat();
            while (heartbeat.configurationVersion != configurationVersion) {
                heartbeat = heartbeat();
            }
            return heartbeat;
        }

        /** The next quota request that the test has not taken; null if there is none. */
        QuotaRequest takeQuotaRequest() {
            return quotaRequests.poll();
        }

        boolean hasQuotaRequest() {
            return !quotaRequests.isEmpty();
        }

        void awaitClose() throws Exception {
            waiter.await(this::isClosed);
        }

        boolean isClosed() {
            return closed;
        }

        void reset() throws IOException {
            closed = true;
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    private <T> T next(BlockingQueue<T> queue) throws Exception {
        waiter.await(() -> !queue.isEmpty());
        return queue.remove();
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void runInBackground(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // one of the two ends has closed the connection
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

    /** The session with this index in the order of acceptance; null if it was not accepted yet. */
    Session acceptedSession(int index) {
        return index < acceptedSessions.size() ? acceptedSessions.get(index) : null;
    }

    /** Waits for the next session with this control plane. */
    Session session() throws Exception {
        return next(sessions);
    }

    boolean hasNoNewSession() {
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

    FakeControlPlane withControlAddresses(String... addresses) {
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
