package dewplank.lab.audit;

import dewplank.emulator.RecordedEvent;
import java.util.HashMap;
import java.util.Map;

/** Checks that a sidecar stops sending to a server in time after it was notified that the server is draining. */
final class DrainCheck implements RuleCheck {
    private final double maxSendAfterNotificationMs;
    private final ViolationReporter reporter;
    private final Map<SidecarServer, Double> notifiedAtMsByPair = new HashMap<>();

    /** {@code maxSendAfterNotificationMs}: how long after the notification a request may arrive, slack included. */
    DrainCheck(double maxSendAfterNotificationMs, ViolationReporter reporter) {
        this.maxSendAfterNotificationMs = maxSendAfterNotificationMs;
        this.reporter = reporter;
    }

    @Override
    public void observe(RecordedEvent event) {
        switch (event.type()) {
            case NOTIFIED_DRAINING, NOTIFIED_REMOVED -> notifiedAtMsByPair.putIfAbsent(
                    SidecarServer.of(event), event.atMs());
            case NOTIFIED_UP -> notifiedAtMsByPair.remove(SidecarServer.of(event));
                // A new process starts with its cached endpoint list and receives all notifications again.
            case SIDECAR_UP -> notifiedAtMsByPair.keySet().removeIf(pair -> pair.sidecar() == event.sidecar());
            case RECEIVED -> received(event);
            default -> {}
        }
    }

    private void received(RecordedEvent event) {
        Double notifiedAtMs = notifiedAtMsByPair.get(SidecarServer.of(event));
        if (notifiedAtMs != null && event.atMs() - notifiedAtMs > maxSendAfterNotificationMs) {
            reporter.report(
                    Rule.SENT_TO_DRAINED,
                    event,
                    "the sidecar was notified %.0f ms earlier".formatted(event.atMs() - notifiedAtMs));
        }
    }
}
