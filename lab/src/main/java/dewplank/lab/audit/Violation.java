package dewplank.lab.audit;

import dewplank.emulator.RecordedEvent;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * A violation of a rule.
 *
 * @param rule the violated rule
 * @param event the event at which the violation was detected
 * @param description a human-readable description
 * @param timeline all events of the request up to the violation, in time order; only the event itself if it belongs to
 *     no stored request
 */
public record Violation(Rule rule, RecordedEvent event, String description, List<RecordedEvent> timeline) {
    public Violation {
        timeline = List.copyOf(timeline);
    }

    /** The time on the run's clock, in milliseconds. */
    public double atMs() {
        return event.atMs();
    }

    /** The id of the client's attempt; -1 for an event without a request. */
    public long request() {
        return event.request();
    }

    /** The timeline as text for a terminal, one line per event. */
    public String timelineText() {
        return timeline.stream().map(Violation::line).collect(Collectors.joining("\n"));
    }

    /** The violation as text: rule, time, request, sidecar, server and description, then the indented timeline. */
    public String describe() {
        return String.format(Locale.ROOT, "%s at %.3f ms,%s: %s", rule, atMs(), subjects(event), description)
                + timeline.stream().map(entry -> "\n    " + line(entry)).collect(Collectors.joining());
    }

    /** The same as {@link #describe}, so that a failed test prints the full violation. */
    @Override
    public String toString() {
        return describe();
    }

    private static String line(RecordedEvent event) {
        String type = event.type().name().toLowerCase(Locale.ROOT).replace('_', ' ');
        String value = event.value() == 0 ? "" : String.format(Locale.ROOT, " (%.3f)", event.value());
        return String.format(Locale.ROOT, "%12.3f  %-13s%s%s", event.atMs(), type, subjects(event), value);
    }

    /** The request, sidecar and server of the event, each preceded by a space. */
    private static String subjects(RecordedEvent event) {
        return subject("request", event.request())
                + subject("sidecar", event.sidecar())
                + subject("server", event.server());
    }

    private static String subject(String name, long number) {
        return number < 0 ? "" : " " + name + " " + number;
    }
}
