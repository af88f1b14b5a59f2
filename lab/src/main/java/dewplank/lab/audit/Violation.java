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

    /** The violation for a person: rule, time, parties and what was wrong; below them the timeline, indented. */
    public String describe() {
        return String.format(Locale.ROOT, "%s at %.3f ms,%s: %s", rule, atMs(), parties(event), description)
                + timeline.stream().map(entry -> "\n    " + line(entry)).collect(Collectors.joining());
    }

    /** As {@link #describe}, so that a failed test shows it in full. */
    @Override
    public String toString() {
        return describe();
    }

    private static String line(RecordedEvent event) {
        String type = event.type().name().toLowerCase(Locale.ROOT).replace('_', ' ');
        String value = event.value() == 0 ? "" : String.format(Locale.ROOT, " (%.3f)", event.value());
        return String.format(Locale.ROOT, "%12.3f  %-13s%s%s", event.atMs(), type, parties(event), value);
    }

    /** The request, sidecar and server that the event names, each after a space. */
    private static String parties(RecordedEvent event) {
        return party("request", event.request()) + party("sidecar", event.sidecar()) + party("server", event.server());
    }

    private static String party(String name, long number) {
        return number < 0 ? "" : " " + name + " " + number;
    }
}
