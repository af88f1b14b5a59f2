package dewplank.emulator.fleet;

import dewplank.net.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/** Runs one client for each data plane, which sends one request after another until it is stopped. */
public final class SteadyLoad {
    private static final double PAUSE_MS = 15;
    private static final long STOP_TIMEOUT_S = 20;

    private final EventLoop loop;
    private final FleetClient client;
    private final List<ClientRequest> requests;
    private final List<CompletableFuture<Void>> ends = new ArrayList<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger notServed = new AtomicInteger();
    private volatile boolean isStopping;

    SteadyLoad(EventLoop loop, FleetClient client, List<FleetMachine> machines, List<ClientRequest> requests) {
        this.loop = loop;
        this.client = client;
        this.requests = List.copyOf(requests);
        for (FleetMachine machine : machines) {
            CompletableFuture<Void> end = new CompletableFuture<>();
            ends.add(end);
            loop.execute(() -> sendNext(machine, 0, end));
        }
    }

    private void sendNext(FleetMachine machine, int requestIndex, CompletableFuture<Void> end) {
        if (isStopping) {
            end.complete(null);
            return;
        }
        client.send(machine, requests.get(requestIndex % requests.size()))
                .ended()
                .thenAccept(outcome -> {
                    (outcome.served() ? served : notServed).incrementAndGet();
                    loop.execute(() -> loop.after(PAUSE_MS, () -> sendNext(machine, requestIndex + 1, end)));
                });
    }

    /** The number of attempts that ended with a complete response of status 200. */
    public int served() {
        return served.get();
    }

    /** The number of attempts that ended without a complete response of status 200. */
    public int notServed() {
        return notServed.get();
    }

    /** Stops the clients and waits until all attempts have ended. */
    public void stop() throws InterruptedException, ExecutionException, TimeoutException {
        isStopping = true;
        CompletableFuture.allOf(ends.toArray(new CompletableFuture<?>[0])).get(STOP_TIMEOUT_S, TimeUnit.SECONDS);
    }
}
