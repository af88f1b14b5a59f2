package dewplank.fleet.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Connections of clients that have sent the same bytes and stay open until the crowd is closed. A connection that the
 * process refuses or closes is a part of the crowd that is not replaced.
 */
final class Crowd implements AutoCloseable {
    private static final int THREADS = 4;

    private final List<RawClient> clients = Collections.synchronizedList(new ArrayList<>());

    private Crowd() {}

    /** Opens the connections, and returns once each has sent its bytes or was closed by the process. */
    static Crowd open(InetSocketAddress to, int connections, byte[]... parts) throws Exception {
        Crowd crowd = new Crowd();
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        try {
            Callable<Void> send = () -> {
                crowd.send(to, parts);
                return null;
            };
            for (Future<Void> sent : threads.invokeAll(Collections.nCopies(connections, send))) {
                sent.get();
            }
            return crowd;
        } catch (InterruptedException | ExecutionException e) {
            crowd.close();
            throw e;
        } finally {
            threads.shutdownNow();
        }
    }

    private void send(InetSocketAddress to, byte[]... parts) {
        try {
            RawClient client = new RawClient(to);
            clients.add(client);
            client.send(parts);
        } catch (IOException e) {
            System.out.println("crowd: a connection to " + to + " was refused: " + e.getMessage());
        }
    }

    /** The number of first responses that have arrived, by status. */
    private Map<Integer, Integer> responses() throws IOException {
        Map<Integer, Integer> responses = new TreeMap<>();
        for (RawClient client : clients) {
            if (client.hasReceived()) {
                responses.merge(client.read().status(), 1, Integer::sum);
            }
        }
        return responses;
    }

    @Override
    public void close() throws IOException {
        System.out.println("crowd of " + clients.size() + " closes, responses by status: " + responses());
        for (RawClient client : clients) {
            client.close();
        }
    }
}
