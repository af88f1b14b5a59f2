import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One connection of a client. */
final class RawClient implements AutoCloseable {
    final Socket socket = new Socket();
    private final InputStream in;

    /** A complete answer. */
    record Answer(int status, Map<String, String> headers, byte[] body) {}

    RawClient(InetSocketAddress to, int timeoutMs) throws IOException {
        socket.connect(to, 1_000);
        socket.setSoTimeout(timeoutMs);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    void send(String head, byte[] body) throws IOException {
        byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        socket.getOutputStream().write(all);
    }

    /** Reads one complete answer; throws if the connection ends or is silent before its end. */
    Answer read() throws IOException {
        int status = Integer.parseInt(line().split(" ")[1]);
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(); !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equals(headers.get("transfer-encoding"))) {
            for (int size = Integer.parseInt(line(), 16); size > 0; size = Integer.parseInt(line(), 16)) {
                body.write(exactly(size));
                line();
            }
            line();
        } else if (headers.containsKey("content-length")) {
            body.write(exactly(Integer.parseInt(headers.get("content-length"))));
        }
        return new Answer(status, headers, body.toByteArray());
    }

    private byte[] exactly(int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the connection ended within a body");
        }
        return bytes;
    }

    private String line() throws IOException {
        StringBuilder text = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException(text.isEmpty() ? "the connection ended" : "the connection ended within a head");
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
