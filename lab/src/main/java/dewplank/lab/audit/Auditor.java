package dewplank.lab.audit;

import dewplank.emulator.RecordedEvent;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.scenario.Rules;
import dewplank.emulator.scenario.Scenario;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Checks the four rules against the events that clients, servers and the directory recorded. Does not depend on the
 * decision module or on a sidecar.
 *
 * <p>Events arrive in the order of their times, on the thread that runs the emulated environment. Results are read on
 * that thread or after the run. Attempts are discarded some time after their deadline, so memory does not limit the
 * length of a run.
 */
public final class Auditor implements RecordedEvent.Recorder {
    private static final int MAX_RETAINED_VIOLATIONS = 50;
    /** The time for which an attempt is stored after the longest deadline, so that late events still find it. */
    private static final double RETENTION_MS = 3_000;

    private final Scenario scenario;
    private final List<RuleCheck> checks;
    private final Map<Long, ObservedAttempt> attempts = new HashMap<>();
    private final ArrayDeque<ObservedAttempt> attemptsByAge = new ArrayDeque<>();
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);
    private final List<Violation> retainedViolations = new ArrayList<>();
    private long requestsSent;

    /**
     * Creates an auditor for one run.
     *
     * @param messageSlackMs maximum delay between the cause of an event and its record, due to message transfer
     */
    public Auditor(Scenario scenario, double messageSlackMs) {
        Rules rules = scenario.rules();
        this.scenario = scenario;
        this.checks = List.of(
                new ColdServerCheck(rules, messageSlackMs, this::report),
                new DrainCheck(rules.drainMs() + messageSlackMs, this::report),
                new ResponseCheck(rules.responseSlackMs(), messageSlackMs, this::report),
                new RepetitionCheck(scenario, messageSlackMs, this::report));
    }

    @Override
    public void record(RecordedEvent event) {
        if (event.type() == Type.SENT) {
            begin(event);
            return;
        }
        ObservedAttempt attempt = attempts.get(event.request());
        if (attempt == null) {
            checks.forEach(check -> check.observe(event));
            return;
        }
        attempt.append(event);
        checks.forEach(check -> check.observe(event, attempt));
        attempt.apply(event);
    }

    private void begin(RecordedEvent sent) {
        requestsSent++;
        ObservedAttempt attempt = new ObservedAttempt(sent, scenario.classes().get(sent.requestClass()));
        attempts.put(sent.request(), attempt);
        attemptsByAge.addLast(attempt);
        double oldestMs = sent.atMs() - scenario.longestDeadlineMs() - RETENTION_MS;
        while (attemptsByAge.peekFirst().sent().atMs() < oldestMs) {
            ObservedAttempt expired = attemptsByAge.removeFirst();
            checks.forEach(check -> check.attemptExpired(expired));
            attempts.remove(expired.sent().request());
        }
    }

    /**
     * Ends the run and reports the requests that are past their deadline without a response. Called once, after the
     * last event.
     *
     * @param nowMs current time on the run's clock
     */
    public void end(double nowMs) {
        for (ObservedAttempt attempt : attemptsByAge) {
            if (attempt.deadlineMs() < nowMs) {
                checks.forEach(check -> check.attemptExpired(attempt));
            }
        }
    }

    private void report(Rule rule, RecordedEvent event, String description) {
        counts.merge(rule, 1, Integer::sum);
        if (retainedViolations.size() < MAX_RETAINED_VIOLATIONS) {
            ObservedAttempt attempt = attempts.get(event.request());
            List<RecordedEvent> timeline = attempt == null ? List.of(event) : attempt.timeline();
            retainedViolations.add(new Violation(rule, event, description, timeline));
        }
    }

    /** The number of attempts that clients sent. */
    public long requestsSent() {
        return requestsSent;
    }

    /** The number of violations of all rules. */
    public int violations() {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** The number of violations of each rule; rules without violations are omitted. */
    public Map<Rule, Integer> counts() {
        return Collections.unmodifiableMap(counts);
    }

    /** The first violations, {@value #MAX_RETAINED_VIOLATIONS} at most, in the order of detection. */
    public List<Violation> retainedViolations() {
        return Collections.unmodifiableList(retainedViolations);
    }

    /** A one-line summary for a terminal. */
    public String verdict() {
        if (counts.isEmpty()) {
            return "kept all rules (" + requestsSent + " requests)";
        }
        return counts.entrySet().stream()
                .map(entry -> displayName(entry.getKey()) + ": " + entry.getValue())
                .collect(Collectors.joining(", ", "broken: ", ""));
    }

    private static String displayName(Rule rule) {
        return rule.printedName().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
