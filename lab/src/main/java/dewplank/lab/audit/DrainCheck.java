package dewplank.lab.audit;

import dewplank.emulator.RecordedEvent;
import java.util.HashMap;
import java.util.Map;

/** Nothing is sent to a server for longer than the rules allow after its sidecar was notified that it drains. */
final class DrainCheck implements RuleCheck {
    private final double maxSendAfterNotificationMs;
    private final ViolationReporter reporter;
    private final Map<SidecarServer, Double> notifiedGoneAtMs = new HashMap<>();

    /** {@code maxSendAfterNotificationMs}: how late a request may be received after it, slack included. */
    DrainCheck(double maxSendAfterNotificationMs, ViolationReporter reporter) {
        this.maxSendAfterNotificationMs = maxSendAfterNotificationMs;
        this.reporter = reporter;
    }

    @Override
    public void observe(RecordedEvent event) {
        switch (event.type()) {
            case NOTIFIED_DRAINING, NOTIFIED_REMOVED -> notifiedGoneAtMs.putIfAbsent(
                    SidecarServer.of(event), event.atMs());
            case NOTIFIED_UP -> notifiedGoneAtMs.remove(SidecarServer.of(event));
                // A new process starts from its cached endpoint list and is notified anew.
            case SIDECAR_UP -> notifiedGoneAtMs.keySet().removeIf(pair -> pair.sidecar() == event.sidecar());
            case RECEIVED -> received(event);
            default -> {}
        }
    }

    private void received(RecordedEvent event) {
        Double notifiedAtMs = notifiedGoneAtMs.get(SidecarServer.of(event));
        if (notifiedAtMs != null && event.atMs() - notifiedAtMs > maxSendAfterNotificationMs) {
            reporter.report(
                    Rule.SENT_TO_DRAINED,
                    event,
                    "its sidecar had been notified %.0f ms earlier".formatted(event.atMs() - notifiedAtMs));
        }
    }
}
