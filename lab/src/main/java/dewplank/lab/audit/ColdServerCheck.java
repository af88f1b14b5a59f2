package dewplank.lab.audit;

import dewplank.emulator.RecordedEvent;
import dewplank.emulator.scenario.Rules;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * No cold server collapses under work from sidecars that were notified of its start. The collapse itself is the model
 * server's record; it is the sidecars' fault if at least {@link #MIN_NOTIFIED_FRACTION} of the work came from those.
 */
final class ColdServerCheck implements RuleCheck {
    private static final double MIN_NOTIFIED_FRACTION = 2.0 / 3;

    /** Work that a server received, in milliseconds of a standard core. */
    private record OfferedWork(double atMs, double work, boolean senderNotified) {}

    /** A server that started during the run, with what it received in the last window before its collapse or warmth. */
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

    /** {@code messageSlackMs}: how much later than its cause an event may be recorded, in milliseconds. */
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
                // A new process starts from its cached endpoint list and is notified anew.
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
        double all = 0;
        double notified = 0;
        for (OfferedWork offered : server.offered) {
            all += offered.work();
            notified += offered.senderNotified() ? offered.work() : 0;
        }
        if (all > 0 && notified >= MIN_NOTIFIED_FRACTION * all) {
            reporter.report(
                    Rule.COLD_SERVER_OVERLOADED,
                    event,
                    "server %d received %.0f ms of work in %.1f s, %.0f %% of it from notified sidecars"
                            .formatted(event.server(), all, rules.collapseWindowMs() / 1000, 100 * notified / all));
        }
    }
}
