package dewplank.client;

import dewplank.http.MessageWriter;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Writes a request on a thread of its own, so that a response can be read meanwhile. Closing the socket ends the
 * thread.
 */
final class RequestSender {
    /** Small, because a long request that is still in this machine's buffer counts as sent. */
    static final int SEND_BUFFER_BYTES = 64 * 1024;

    private final Socket socket;
    private final MessageWriter.Message message;
    private final CountDownLatch sent = new CountDownLatch(1);

    RequestSender(Socket socket, MessageWriter.Message message) {
        this.socket = socket;
        this.message = message;
    }

    void start() {
        Thread thread = new Thread(this::send, "request-sender");
        thread.setDaemon(true);
        thread.start();
    }

    private void send() {
        try {
            OutputStream output = socket.getOutputStream();
            output.write(message.head().array());
            output.write(message.body().array());
            sent.countDown();
        } catch (IOException e) {
            // the request stays unsent; whether there is a response, the reader finds out
        }
    }

    /** Waits until the system has accepted the complete request; returns false if it has not within this time. */
    boolean awaitSent(long ms) throws InterruptedException {
        return sent.await(ms, TimeUnit.MILLISECONDS);
    }
}
