package dewplank.dataplane;

import dewplank.exchange.Wire;
import dewplank.message.CorruptFrameException;
import dewplank.message.FleetMessages;
import dewplank.message.HeartbeatAck;
import dewplank.message.MessageCodec;
import dewplank.message.SessionHeartbeat;
import dewplank.message.SessionOpen;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A stand-in for a control plane: the test sends the updates, it sends the acks of heartbeats. */
final class FakeControlPlane implements Closeable {
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final BlockingQueue<Session> sessions = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new ArrayList<>();
    private volatile boolean sendsAcks = true;
    private volatile boolean withQuorum = true;
    private volatile List<String> controlAddresses = List.of();

    FakeControlPlane() throws IOException {
        background(() -> {
            while (true) {
                Socket socket = listener.accept();
                synchronized (sockets) {
                    sockets.add(socket);
                }
                Session session = new Session(socket);
                sessions.add(session);
                background(session::read);
            }
        });
    }

    /** One session, as the control plane sees it. */
    final class Session {
        private final Socket socket;
        private final MessageCodec codec = FleetMessages.codec();
        private final BlockingQueue<SessionOpen> opened = new LinkedBlockingQueue<>();
        private final BlockingQueue<SessionHeartbeat> heartbeats = new LinkedBlockingQueue<>();
        private final CountDownLatch ended = new CountDownLatch(1);

        Session(Socket socket) {
            this.socket = socket;
        }

        private void read() throws IOException {
            MessageCodec.Decoder reader = codec.newDecoder();
            byte[] bytes = new byte[4096];
            InputStream in = socket.getInputStream();
            try {
                for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                    ByteBuffer piece = ByteBuffer.wrap(bytes, 0, n);
                    for (Object m = reader.decode(piece); m != null; m = reader.decode(piece)) {
                        take(m);
                    }
                }
            } catch (CorruptFrameException e) {
                throw new IOException(e);
            } finally {
                ended.countDown();
            }
        }

        private void take(Object message) throws IOException {
            if (message instanceof SessionOpen open) {
                opened.add(open);
            } else if (message instanceof SessionHeartbeat heartbeat) {
                heartbeats.add(heartbeat);
                if (sendsAcks) {
                    send(new HeartbeatAck(heartbeat.sequence, withQuorum, controlAddresses));
                }
            }
        }

        synchronized void send(Object message) throws IOException {
            ByteBuffer frame = codec.encode(message);
            socket.getOutputStream().write(frame.array(), 0, frame.limit());
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

        SessionOpen open() throws InterruptedException {
            return next(opened);
        }

        SessionHeartbeat heartbeat() throws InterruptedException {
            return next(heartbeats);
        }

        /** The next heartbeat that reports this version of the configuration as in force. */
        SessionHeartbeat heartbeatWithVersion(long configurationVersion) throws InterruptedException {
            SessionHeartbeat heartbeat = heartbeat();
            while (heartbeat.configurationVersion != configurationVersion) {
                heartbeat = heartbeat();
            }
            return heartbeat;
        }

        void awaitEnd() throws InterruptedException {
            if (!ended.await(Wire.PATIENCE_S, TimeUnit.SECONDS)) {
                throw new AssertionError("the session still stands");
            }
        }

        boolean isEnded() {
            return ended.getCount() == 0;
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    private static <T> T next(BlockingQueue<T> from) throws InterruptedException {
        T next = from.poll(Wire.PATIENCE_S, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("nothing came");
        }
        return next;
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

    /** The next session that is opened here. */
    Session session() throws InterruptedException {
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
        synchronized (sockets) {
            for (Socket s : sockets) {
                s.close();
            }
        }
    }
}
