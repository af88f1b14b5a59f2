package dewplank.lab.audit;

import dewplank.emulator.RecordedEvent;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * One broken rule.
 *
 * @param rule which
 * @param event the event at which it showed
 * @param description what was wrong, for people
 * @param timeline all that was recorded of the request so far, in the order of time; of an event that belongs to no
 *     request that is remembered, the event alone
 */
public record Violation(Rule rule, RecordedEvent event, String description, List<RecordedEvent> timeline) {
    public Violation {
        timeline = List.copyOf(timeline);
    }

    /** Milliseconds on the run's clock. */
    public double atMs() {
        return event.atMs();
    }

    /** The client attempt's id; -1 for an event of no request. */
    public long request() {
        return event.request();
    }

    /** The timeline for a terminal, one event a line. */
    public String timelineText() {
        return timeline.stream().map(Violation::line).collect(Collectors.joining("\n"));
    }

    private static String line(RecordedEvent event) {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%12.3f  %-13s",
                event.atMs(),
                event.type().name().toLowerCase(Locale.ROOT).replace('_', ' ')));
        if (event.request() >= 0) {
            text.append(" request ").append(event.request());
        }
        if (event.sidecar() >= 0) {
            text.append(" sidecar ").append(event.sidecar());
        }
        if (event.server() >= 0) {
            text.append(" server ").append(event.server());
        }
        if (event.value() != 0) {
            text.append(String.format(Locale.ROOT, " (%.3f)", event.value()));
        }
        return text.toString();
    }
}
