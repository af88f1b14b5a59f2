package dewplank.lab.audit;

import dewplank.emulator.RecordedEvent;
import dewplank.emulator.scenario.Rules;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Checks that no cold server collapses under work from sidecars that were notified of its start. The emulated
 * server records the collapse; it is a violation if at least {@link #MIN_NOTIFIED_FRACTION} of the work came from
 * notified sidecars.
 */
final class ColdServerCheck implements RuleCheck {
    private static final double MIN_NOTIFIED_FRACTION = 2.0 / 3;

    /** A request that a server received; its work is in milliseconds of a standard core. */
    private record OfferedWork(double atMs, double work, boolean senderNotified) {}

    /** A server that started during the run, and the work that it received in the latest window while cold. */
    private static final class StartedServer {
        final double startedAtMs;
        final ArrayDeque<OfferedWork> offered = new ArrayDeque<>();
        boolean isWarm;

        StartedServer(double startedAtMs) {
            this.startedAtMs = startedAtMs;
        }
    }

    private final Rules rules;
    private final double messageSlackMs;
    private final ViolationReporter reporter;
    private final Map<SidecarServer, Double> notifiedStartMs = new HashMap<>();
    private final Map<Integer, StartedServer> startedServers = new HashMap<>();

    /** {@code messageSlackMs}: maximum delay between the cause of an event and its record, in milliseconds. */
    ColdServerCheck(Rules rules, double messageSlackMs, ViolationReporter reporter) {
        this.rules = rules;
        this.messageSlackMs = messageSlackMs;
        this.reporter = reporter;
    }

    @Override
    public void observe(RecordedEvent event) {
        switch (event.type()) {
            case SERVER_STARTED -> startedServers.put(event.server(), new StartedServer(event.atMs()));
            case NOTIFIED_UP -> notifiedStartMs.put(SidecarServer.of(event), event.value());
                // A new process starts with its cached endpoint list and receives all notifications again.
            case SIDECAR_UP -> notifiedStartMs.keySet().removeIf(pair -> pair.sidecar() == event.sidecar());
            case RECEIVED -> received(event);
            case SERVER_COLLAPSED -> collapsed(event);
            default -> {}
        }
    }

    private void received(RecordedEvent event) {
        StartedServer server = startedServers.get(event.server());
        if (server == null || server.isWarm) {
            return;
        }
        Double notifiedMs = notifiedStartMs.get(SidecarServer.of(event));
        boolean senderNotified = notifiedMs != null && notifiedMs >= server.startedAtMs - messageSlackMs;
        server.offered.addLast(new OfferedWork(event.atMs(), event.value(), senderNotified));
        while (server.offered.peekFirst().atMs() < event.atMs() - rules.collapseWindowMs()) {
            server.offered.removeFirst();
        }
        if (event.atMs() - server.startedAtMs > rules.warmUpMs()) {
            server.isWarm = true;
            server.offered.clear();
        }
    }

    private void collapsed(RecordedEvent event) {
        StartedServer server = startedServers.get(event.server());
        if (server == null) {
            return;
        }
        double totalWork = 0;
        double notifiedWork = 0;
        for (OfferedWork offered : server.offered) {
            totalWork += offered.work();
            notifiedWork += offered.senderNotified() ? offered.work() : 0;
        }
        if (totalWork > 0 && notifiedWork >= MIN_NOTIFIED_FRACTION * totalWork) {
            reporter.report(
                    Rule.COLD_SERVER_OVERLOADED,
                    event,
                    "server %d received %.0f ms of work in %.1f s, %.0f %% of it from notified sidecars"
                            .formatted(
                                    event.server(),
                                    totalWork,
                                    rules.collapseWindowMs() / 1000,
                                    100 * notifiedWork / totalWork));
        }
    }
}
