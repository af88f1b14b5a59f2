import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 server: a thread for each connection, one request at a time, connections are kept. */
final class RawServer implements AutoCloseable {
    /** A whole request. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {}

    /** Handles one request. */
    interface Handler {
        void handle(Request request, Answer answer) throws IOException;
    }

    /** The answer to one request. */
    static final class Answer {
        final Socket socket;
        private final OutputStream out;

        Answer(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        /** Sends a complete answer; {@code fields} are lines that end with CRLF. */
        void whole(int status, String fields, byte[] body) throws IOException {
            byte[] head = ("HTTP/1.1 " + status + " Status\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = new byte[head.length + body.length];
            System.arraycopy(head, 0, all, 0, head.length);
            System.arraycopy(body, 0, all, head.length, body.length);
            out.write(all);
        }

        void raw(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private final ServerSocket socket = new ServerSocket();

    RawServer(InetSocketAddress at, Handler handler) throws IOException {
        socket.setReuseAddress(true);
        socket.bind(at, 512);
        daemon(() -> {
            while (true) {
                Socket accepted = socket.accept();
                daemon(() -> serve(accepted, handler));
            }
        });
    }

    /** A task that may end with a failed socket. */
    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // the connection or the listener was closed
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void serve(Socket accepted, Handler handler) throws IOException {
        try (accepted) {
            accepted.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(accepted.getInputStream(), 65_536);
            while (true) {
                String start = line(in);
                if (start == null) {
                    return;
                }
                Map<String, String> headers = new LinkedHashMap<>();
                for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                    int colon = line.indexOf(':');
                    headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
                }
                int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
                byte[] body = in.readNBytes(length);
                if (body.length < length) {
                    throw new EOFException();
                }
                String[] words = start.split(" ");
                handler.handle(new Request(words[0], words[1], headers, body), new Answer(accepted));
            }
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                text.append((char) c);
            }
        }
        return text.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
