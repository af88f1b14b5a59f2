package dewplank.emulator.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.emulator.fleet.FleetEvent.Arrived;
import dewplank.emulator.fleet.FleetEvent.AttemptEnded;
import dewplank.emulator.fleet.FleetEvent.AttemptSent;
import dewplank.emulator.fleet.FleetEvent.ChangeResponded;
import dewplank.emulator.fleet.FleetEvent.ChangeSent;
import dewplank.emulator.fleet.FleetEvent.ConnectionReused;
import dewplank.emulator.fleet.FleetEvent.EndpointListRequested;
import dewplank.emulator.fleet.FleetEvent.HandleCreated;
import dewplank.emulator.fleet.FleetEvent.HandleFetched;
import dewplank.emulator.fleet.FleetEvent.ListedDraining;
import dewplank.emulator.fleet.FleetEvent.ProcessFault;
import dewplank.emulator.fleet.FleetEvent.ProcessFaulted;
import dewplank.emulator.fleet.FleetEvent.ReadBack;
import dewplank.emulator.fleet.FleetEvent.ResponseSent;
import dewplank.emulator.fleet.FleetEvent.RunEnd;
import dewplank.emulator.fleet.FleetEvent.RunEnded;
import dewplank.emulator.fleet.FleetEvent.RunRejected;
import dewplank.emulator.fleet.FleetEvent.RunStarted;
import dewplank.emulator.fleet.FleetEvent.StandInsStalled;
import dewplank.emulator.fleet.FleetEvent.StreamBytes;
import dewplank.emulator.fleet.FleetEvent.StreamEventSent;
import dewplank.emulator.fleet.FleetEvent.StreamStarted;
import dewplank.emulator.fleet.FleetEvent.UnexpectedBytes;
import dewplank.emulator.fleet.Violation.Rule;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks hand-written histories: some without a violation, and some with a violation of each rule. */
class FleetAuditorTest {
    private static final RouteSpec WRITE = RouteSpec.to("plain", "write", RouteSpec.Kind.UNSAFE);
    private static final RouteSpec READ = RouteSpec.to("plain", "read", RouteSpec.Kind.SAFE);
    private static final RouteSpec CHAT = RouteSpec.to("model", "chat", RouteSpec.Kind.STREAM);
    private static final FleetConfiguration FIRST = new FleetConfiguration(
            3,
            List.of(WRITE, READ, CHAT),
            List.of(ServiceSpec.plain("plain"), ServiceSpec.plain("other"), ServiceSpec.model("model")));
    private static final ServerIdentity SERVER =
            new ServerIdentity("i-1", "plain", "ost", ServerStage.NONE, "127.0.0.1:1");
    private static final ServerIdentity OTHER =
            new ServerIdentity("i-2", "other", "ost", ServerStage.NONE, "127.0.0.1:2");
    private static final ServerIdentity MODEL =
            new ServerIdentity("i-3", "model", "ost", ServerStage.DECODE, "127.0.0.1:3");
    /** A time by which every change at the start of a history must have taken effect. */
    private static final double LATE_MS = 9_000;

    private static final double START_MS = 1;

    private final List<FleetEvent> events = new ArrayList<>();

    FleetAuditorTest() {
        addAcknowledgedChange(FIRST, 0, 0);
    }

    /** Adds a change that the operator sent and that was acknowledged immediately. */
    private void addAcknowledgedChange(FleetConfiguration document, long base, double atMs) {
        String text = document.json().toString();
        events.add(new ChangeSent(atMs, base, Optional.of(document), text));
        events.add(new ChangeResponded(atMs, base, Optional.of(document), text, 200));
    }

    private void assertNoViolation() {
        assertViolations();
    }

    private void assertViolations(Rule... rules) {
        List<Rule> found = FleetAuditor.audit(events).stream()
                .map(Violation::rule)
                .distinct()
                .toList();
        assertEquals(List.of(rules), found, () -> FleetAuditor.audit(events).toString());
    }

    private void addAttempt(double atMs, String id, ClientRequest request) {
        events.add(new AttemptSent(atMs, "edge", id, request));
    }

    private void addRun(double atMs, ServerIdentity server, String id, ClientRequest request) {
        events.add(new Arrived(atMs, server, id, false, request.method(), request.target(), request.body()));
        events.add(new RunStarted(atMs, server, id));
    }

    /** Adds a success that a server sent with {@code body} and the client received with {@code received}. */
    private void addResponse(double atMs, String id, String seal, String body, String received) {
        events.add(new ResponseSent(atMs, SERVER, id, 200, Optional.of(seal), body));
        events.add(new AttemptEnded(atMs, id, 200, Optional.of(seal), received, true, false));
    }

    private void addServedRequest(double atMs, ServerIdentity server, String id, ClientRequest request) {
        addAttempt(atMs, id, request);
        addRun(atMs, server, id, request);
        addResponse(atMs, id, "seal-" + id, "body", "body");
    }

    /** Adds a stream: a server sent {@code eventCount} events, the client received the text with each of the seals. */
    private void addStream(String id, int eventCount, String received, boolean isComplete, String... seals) {
        ClientRequest request = ClientRequest.direct(CHAT, "s", 3);
        addAttempt(START_MS, id, request);
        addRun(START_MS, MODEL, id, request);
        events.add(new StreamStarted(START_MS, MODEL, id, "seal"));
        for (int event = 1; event <= eventCount; event++) {
            events.add(new StreamEventSent(START_MS, MODEL, id, event, StreamEvents.text(id, event)));
        }
        for (String seal : seals) {
            events.add(new StreamBytes(START_MS, id, 200, Optional.of(seal), received));
        }
        events.add(new AttemptEnded(2, id, 200, Optional.of("seal"), received, isComplete, false));
    }

    @Test
    void aHistoryThatFollowsTheRulesHasNoViolation() {
        addServedRequest(START_MS, SERVER, "a", ClientRequest.plain(WRITE, "x"));
        addStream("b", 3, StreamEvents.stream("b", 3), true, "seal", "seal");
        events.add(new ReadBack(5, 4, "core", FIRST.json().toString()));
        events.add(new EndpointListRequested(START_MS, "core-0", 200));
        events.add(new EndpointListRequested(2, "core-1", 200));
        events.add(new EndpointListRequested(100, "core-0", 200));
        events.add(new EndpointListRequested(900, "core-1", 200));
        assertNoViolation();
    }

    @Test
    void aSecondRunIsFoundUnlessTheRequestIsIdempotent() {
        ClientRequest read = ClientRequest.plain(READ, "x");
        addServedRequest(START_MS, SERVER, "a", read);
        addRun(2, SERVER, "a", read);
        assertNoViolation();
        ClientRequest write = ClientRequest.plain(WRITE, "x");
        addServedRequest(START_MS, SERVER, "b", write);
        addRun(2, SERVER, "b", write);
        assertViolations(Rule.TWICE);
    }

    @Test
    void aRunOfARejectedRequestIsFound() {
        ClientRequest write = ClientRequest.plain(WRITE, "x");
        addAttempt(START_MS, "a", write);
        events.add(new AttemptEnded(2, "a", 503, Optional.empty(), "", true, false));
        assertNoViolation();
        addRun(3, SERVER, "a", write);
        assertViolations(Rule.REFUSED);
    }

    @Test
    void aSuccessWithABodyThatTheServerDidNotSendIsFound() {
        ClientRequest write = ClientRequest.plain(WRITE, "x");
        addAttempt(START_MS, "a", write);
        addRun(START_MS, SERVER, "a", write);
        addResponse(START_MS, "a", "seal", "body", "bod");
        assertViolations(Rule.MIXED);
    }

    @Test
    void aSuccessWithoutASealIsFound() {
        addAttempt(START_MS, "a", ClientRequest.plain(WRITE, "x"));
        events.add(new AttemptEnded(2, "a", 200, Optional.empty(), "body", true, false));
        assertViolations(Rule.MIXED);
    }

    @Test
    void aStreamWithoutASealIsFound() {
        ClientRequest request = ClientRequest.direct(CHAT, "s", 0);
        addAttempt(START_MS, "a", request);
        addRun(START_MS, MODEL, "a", request);
        events.add(new StreamStarted(START_MS, MODEL, "a", "seal"));
        events.add(new AttemptEnded(2, "a", 200, Optional.empty(), "", false, false));
        assertViolations(Rule.MIXED);
    }

    @Test
    void aRequestThatNoClientSentIsFound() {
        addAttempt(START_MS, "a", ClientRequest.plain(WRITE, "x"));
        events.add(new Arrived(START_MS, SERVER, "a", false, "POST", "/write/x", "another body"));
        assertViolations(Rule.UNASKED);
    }

    @Test
    void anInterruptedStreamMayEndWithinAnEvent() {
        addStream("a", 2, StreamEvents.stream("a", 1) + "id: 2", false, "seal");
        assertNoViolation();
    }

    @Test
    void aCompleteStreamWithoutItsLastEventIsFound() {
        addStream("a", 3, StreamEvents.stream("a", 2), true, "seal");
        assertViolations(Rule.ORDER);
    }

    @Test
    void aGapInAStreamIsFound() {
        addStream("a", 3, StreamEvents.text("a", 1) + StreamEvents.text("a", 3), false, "seal");
        assertViolations(Rule.ORDER);
    }

    @Test
    void aSecondHeadOfAStreamIsFound() {
        addStream("a", 3, StreamEvents.stream("a", 3), true, "seal", "another");
        assertViolations(Rule.ORDER);
    }

    @Test
    void aHandleThatIsFetchedTwiceIsFound() {
        events.add(new HandleCreated(START_MS, MODEL, "h", "a"));
        events.add(new HandleFetched(2, "h", "a"));
        assertNoViolation();
        events.add(new HandleFetched(3, "h", "a"));
        assertViolations(Rule.HANDLE);
    }

    @Test
    void aHandleThatIsFetchedForAnotherRequestIsFound() {
        events.add(new HandleCreated(START_MS, MODEL, "h", "a"));
        events.add(new HandleFetched(2, "h", "b"));
        assertViolations(Rule.HANDLE);
    }

    @Test
    void aRunAtAServiceThatNoConfigurationAllowsIsFound() {
        addServedRequest(START_MS, OTHER, "a", ClientRequest.plain(WRITE, "x"));
        assertViolations(Rule.ROUTE);
    }

    @Test
    void aRunThatOnlyARejectedConfigurationAllowsIsFound() {
        FleetConfiguration rejected = FIRST.with(5, WRITE.withService("other"));
        events.add(new ChangeSent(
                START_MS, 3, Optional.of(rejected), rejected.json().toString()));
        addServedRequest(START_MS, OTHER, "a", ClientRequest.plain(WRITE, "x"));
        assertNoViolation();
        events.add(
                new ChangeResponded(2, 3, Optional.of(rejected), rejected.json().toString(), 412));
        assertViolations(Rule.ROUTE);
    }

    @Test
    void aRequestThatReachesADrainingServerLateIsFound() {
        events.add(new ListedDraining(START_MS, SERVER));
        addServedRequest(1 + FleetBounds.DRAIN_MS, SERVER, "a", ClientRequest.plain(WRITE, "x"));
        ClientRequest forAnotherInstance = ClientRequest.plain(WRITE, "y");
        addAttempt(LATE_MS, "b", forAnotherInstance);
        events.add(new Arrived(
                LATE_MS, SERVER, "b", false, "POST", forAnotherInstance.target(), forAnotherInstance.body()));
        events.add(new RunRejected(LATE_MS, SERVER, "b", 421));
        assertNoViolation();
        addServedRequest(2 + FleetBounds.DRAIN_MS, SERVER, "c", ClientRequest.plain(WRITE, "x"));
        assertViolations(Rule.DRAIN);
    }

    @Test
    void aLostConfigurationIsFound() {
        addAcknowledgedChange(FIRST.withVersion(5), 3, 1);
        events.add(new ReadBack(3, 2, "core", FIRST.json().toString()));
        assertViolations(Rule.CONFIG);
    }

    @Test
    void aConfigurationThatNoOperatorSentIsFound() {
        events.add(new ReadBack(3, 2, "core", FIRST.without(3, "read").json().toString()));
        assertViolations(Rule.CONFIG);
    }

    @Test
    void twoDifferentAcknowledgedChangesOfOneVersionAreFound() {
        addAcknowledgedChange(FIRST.withVersion(5), 3, 1);
        addAcknowledgedChange(FIRST.withVersion(5), 3, 1);
        assertNoViolation();
        addAcknowledgedChange(FIRST.withVersion(6), 3, 1);
        assertViolations(Rule.CONFIG);
    }

    @Test
    void anAcknowledgedInvalidConfigurationIsFound() {
        events.add(new ChangeResponded(START_MS, 3, Optional.empty(), "{", 200));
        assertViolations(Rule.CONFIG);
    }

    @Test
    void aRequestHandledByAReplacedConfigurationIsFoundUnlessAProcessHadAFault() {
        addAcknowledgedChange(FIRST.with(5, WRITE.withService("other")), 3, 1);
        addServedRequest(FleetBounds.CONFIG_APPLY_MS, SERVER, "a", ClientRequest.plain(WRITE, "x"));
        assertNoViolation();
        addServedRequest(LATE_MS, SERVER, "b", ClientRequest.plain(WRITE, "x"));
        assertViolations(Rule.STALE);
        events.add(new ProcessFaulted(2, "core-0", MachineClass.CORE, ProcessFault.KILLED));
        assertNoViolation();
    }

    @Test
    void aRouteThatIsMissingLongAfterItWasAddedIsFound() {
        addAttempt(LATE_MS, "a", ClientRequest.plain(READ, "x"));
        events.add(new AttemptEnded(LATE_MS, "a", 404, Optional.empty(), "", true, false));
        assertViolations(Rule.STALE);
    }

    @Test
    void twoProcessesThatCallThePlatformAlternatelyAreFound() {
        events.add(new EndpointListRequested(START_MS, "core-0", 200));
        events.add(new EndpointListRequested(2, "core-1", 200));
        events.add(new EndpointListRequested(900, "core-0", 200));
        assertViolations(Rule.ONE);
    }

    @Test
    void aProcessThatWasJustResumedIsNotASecondCaller() {
        events.add(new EndpointListRequested(START_MS, "core-0", 200));
        events.add(new EndpointListRequested(1_500, "core-1", 200));
        events.add(new ProcessFaulted(2_400, "core-0", MachineClass.CORE, ProcessFault.THAWED));
        events.add(new EndpointListRequested(2_450, "core-0", 200));
        events.add(new EndpointListRequested(2_500, "core-1", 200));
        assertNoViolation();
    }

    private void addFault(double atMs, ProcessFault fault) {
        events.add(new ProcessFaulted(atMs, "edge", MachineClass.EDGE, fault));
    }

    /** Adds an attempt that was forwarded, and to which the client received no response. */
    private void addInterruptedRequest(double sentAtMs, double endedAtMs, String id) {
        ClientRequest request = ClientRequest.plain(READ, "x");
        addAttempt(sentAtMs, id, request);
        addRun(sentAtMs, SERVER, id, request);
        addEndWithoutResponse(endedAtMs, id);
    }

    private void addEndWithoutResponse(double atMs, String id) {
        events.add(new AttemptEnded(atMs, id, 0, Optional.empty(), "", false, false));
    }

    @ParameterizedTest
    @EnumSource(
            value = ProcessFault.class,
            names = {"TERMINATED", "RELOADED"})
    void aForwardedRequestInterruptedAroundAPlannedOperationIsFound(ProcessFault operation) {
        addFault(LATE_MS, operation);
        addInterruptedRequest(START_MS, LATE_MS - 1, "before");
        assertNoViolation();
        addInterruptedRequest(LATE_MS - 1, LATE_MS + 1, "around");
        assertViolations(Rule.LOST);
    }

    @Test
    void aRequestInterruptedAroundAKillIsNotLost() {
        addFault(LATE_MS, ProcessFault.TERMINATED);
        addFault(LATE_MS + 1, ProcessFault.KILLED);
        addInterruptedRequest(LATE_MS, LATE_MS + 2, "killed");
        assertNoViolation();
    }

    @Test
    void aRequestThatEndsWithoutResponseOnAReusedConnectionLaterThanTheSlackIsLost() {
        addFault(LATE_MS, ProcessFault.TERMINATED);
        addAttempt(LATE_MS, "a", ClientRequest.plain(WRITE, "x"));
        events.add(new ConnectionReused(LATE_MS, "a"));
        addEndWithoutResponse(LATE_MS + FleetBounds.LOSS_SLACK_MS, "a");
        assertNoViolation();
        addAttempt(LATE_MS, "b", ClientRequest.plain(WRITE, "x"));
        events.add(new ConnectionReused(LATE_MS, "b"));
        addEndWithoutResponse(LATE_MS + FleetBounds.LOSS_SLACK_MS + 1, "b");
        assertViolations(Rule.LOST);
    }

    @Test
    void aStallOfTheStandInsIsNotAttributedToTheDataPlane() {
        addFault(LATE_MS, ProcessFault.TERMINATED);
        addAttempt(LATE_MS, "a", ClientRequest.plain(WRITE, "x"));
        events.add(new ConnectionReused(LATE_MS, "a"));
        addEndWithoutResponse(LATE_MS + FleetBounds.LOSS_SLACK_MS + 1, "a");
        assertViolations(Rule.LOST);
        events.add(new StandInsStalled(LATE_MS + 1, LATE_MS));
        assertNoViolation();
    }

    @Test
    void aRequestThatIsStillRunningLateInTheGracePeriodIsNotLost() {
        double lateInGraceMs = FleetBounds.GRACE_S * 900;
        addFault(START_MS, ProcessFault.TERMINATED);
        addInterruptedRequest(START_MS, START_MS + lateInGraceMs, "a");
        events.add(new RunEnded(START_MS + lateInGraceMs, SERVER, "a", RunEnd.CALLER_LEFT));
        assertNoViolation();
        addInterruptedRequest(START_MS, START_MS + lateInGraceMs, "b");
        assertViolations(Rule.LOST);
    }

    @Test
    void aRequestWhoseServerCrashesIsNotLost() {
        addFault(START_MS, ProcessFault.TERMINATED);
        addInterruptedRequest(START_MS, 2, "a");
        events.add(new RunEnded(2, SERVER, "a", RunEnd.CRASHED));
        assertNoViolation();
    }

    @Test
    void moreThanThreeInterruptedRequestsWithoutAFaultAreFound() {
        for (String id : List.of("a", "b", "c")) {
            addInterruptedRequest(START_MS, 2, id);
        }
        assertNoViolation();
        addInterruptedRequest(START_MS, 2, "d");
        assertViolations(Rule.LOST);
    }

    @Test
    void bytesWithoutAPendingRequestAreFound() {
        events.add(new UnexpectedBytes(START_MS, "edge", "HTTP/1.1 200 OK"));
        assertViolations(Rule.MIXED);
    }
}
