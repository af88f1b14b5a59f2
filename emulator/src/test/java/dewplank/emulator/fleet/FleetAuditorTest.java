package dewplank.emulator.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.emulator.fleet.FleetEvent.Answered;
import dewplank.emulator.fleet.FleetEvent.Arrived;
import dewplank.emulator.fleet.FleetEvent.AttemptEnded;
import dewplank.emulator.fleet.FleetEvent.AttemptSent;
import dewplank.emulator.fleet.FleetEvent.ChangeAnswered;
import dewplank.emulator.fleet.FleetEvent.ChangeSent;
import dewplank.emulator.fleet.FleetEvent.ConnectionReused;
import dewplank.emulator.fleet.FleetEvent.EndpointListRequested;
import dewplank.emulator.fleet.FleetEvent.HandleCreated;
import dewplank.emulator.fleet.FleetEvent.HandleFetched;
import dewplank.emulator.fleet.FleetEvent.ListedDraining;
import dewplank.emulator.fleet.FleetEvent.ProcessFault;
import dewplank.emulator.fleet.FleetEvent.ProcessFaulted;
import dewplank.emulator.fleet.FleetEvent.ReadBack;
import dewplank.emulator.fleet.FleetEvent.RunEnd;
import dewplank.emulator.fleet.FleetEvent.RunEnded;
import dewplank.emulator.fleet.FleetEvent.RunRejected;
import dewplank.emulator.fleet.FleetEvent.RunStarted;
import dewplank.emulator.fleet.FleetEvent.StandInsStalled;
import dewplank.emulator.fleet.FleetEvent.StreamBegun;
import dewplank.emulator.fleet.FleetEvent.StreamBytes;
import dewplank.emulator.fleet.FleetEvent.StreamEventSent;
import dewplank.emulator.fleet.FleetEvent.UnexpectedBytes;
import dewplank.emulator.fleet.Violation.Rule;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Histories written by hand: some that keep the rules, and each rule broken. */
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
    /** Long after all that happens at the start of a history must be in effect. */
    private static final double LATE_MS = 9_000;

    private static final double START_MS = 1;

    private final List<FleetEvent> events = new ArrayList<>();

    FleetAuditorTest() {
        acknowledged(FIRST, 0, 0);
    }

    /** The operator sent a configuration, and it was acknowledged at once. */
    private void acknowledged(FleetConfiguration document, long base, double atMs) {
        String text = document.json().toString();
        events.add(new ChangeSent(atMs, base, Optional.of(document), text));
        events.add(new ChangeAnswered(atMs, base, Optional.of(document), text, 200));
    }

    private void assertKept() {
        assertBroken();
    }

    private void assertBroken(Rule... rules) {
        List<Rule> found = FleetAuditor.audit(events).stream()
                .map(Violation::rule)
                .distinct()
                .toList();
        assertEquals(List.of(rules), found, () -> FleetAuditor.audit(events).toString());
    }

    private void sent(double atMs, String id, ClientRequest request) {
        events.add(new AttemptSent(atMs, "edge", id, request));
    }

    private void ran(double atMs, ServerIdentity server, String id, ClientRequest request) {
        events.add(new Arrived(atMs, server, id, false, request.method(), request.target(), request.body()));
        events.add(new RunStarted(atMs, server, id));
    }

    /** A server sent {@code body} with a success, and the client received {@code received}. */
    private void answered(double atMs, String id, String seal, String body, String received) {
        events.add(new Answered(atMs, SERVER, id, 200, Optional.of(seal), body));
        events.add(new AttemptEnded(atMs, id, 200, Optional.of(seal), received, true, false));
    }

    private void served(double atMs, ServerIdentity server, String id, ClientRequest request) {
        sent(atMs, id, request);
        ran(atMs, server, id, request);
        answered(atMs, id, "seal-" + id, "body", "body");
    }

    /** A server sent so many events, and the client received {@code received} under each of the seals. */
    private void stream(String id, int emitted, String received, boolean isComplete, String... seals) {
        ClientRequest request = ClientRequest.direct(CHAT, "s", 3);
        sent(START_MS, id, request);
        ran(START_MS, MODEL, id, request);
        events.add(new StreamBegun(START_MS, MODEL, id, "seal"));
        for (int event = 1; event <= emitted; event++) {
            events.add(new StreamEventSent(START_MS, MODEL, id, event, StreamEvents.text(id, event)));
        }
        for (String seal : seals) {
            events.add(new StreamBytes(START_MS, id, 200, Optional.of(seal), received));
        }
        events.add(new AttemptEnded(2, id, 200, Optional.of("seal"), received, isComplete, false));
    }

    @Test
    void aHistoryThatKeepsTheRulesHasNoViolation() {
        served(START_MS, SERVER, "a", ClientRequest.plain(WRITE, "x"));
        stream("b", 3, StreamEvents.stream("b", 3), true, "seal", "seal");
        events.add(new ReadBack(5, 4, "core", FIRST.json().toString()));
        events.add(new EndpointListRequested(START_MS, "core-0", 200));
        events.add(new EndpointListRequested(2, "core-1", 200));
        events.add(new EndpointListRequested(100, "core-0", 200));
        events.add(new EndpointListRequested(900, "core-1", 200));
        assertKept();
    }

    @Test
    void aSecondRunIsFoundUnlessTheRequestIsIdempotent() {
        ClientRequest read = ClientRequest.plain(READ, "x");
        served(START_MS, SERVER, "a", read);
        ran(2, SERVER, "a", read);
        assertKept();
        ClientRequest write = ClientRequest.plain(WRITE, "x");
        served(START_MS, SERVER, "b", write);
        ran(2, SERVER, "b", write);
        assertBroken(Rule.TWICE);
    }

    @Test
    void aRunOfARejectedRequestIsFound() {
        ClientRequest write = ClientRequest.plain(WRITE, "x");
        sent(START_MS, "a", write);
        events.add(new AttemptEnded(2, "a", 503, Optional.empty(), "", true, false));
        assertKept();
        ran(3, SERVER, "a", write);
        assertBroken(Rule.REFUSED);
    }

    @Test
    void aSuccessWithAnotherBodyThanTheServersIsFound() {
        ClientRequest write = ClientRequest.plain(WRITE, "x");
        sent(START_MS, "a", write);
        ran(START_MS, SERVER, "a", write);
        answered(START_MS, "a", "seal", "body", "bod");
        assertBroken(Rule.MIXED);
    }

    @Test
    void aSuccessWithoutSealIsFound() {
        sent(START_MS, "a", ClientRequest.plain(WRITE, "x"));
        events.add(new AttemptEnded(2, "a", 200, Optional.empty(), "body", true, false));
        assertBroken(Rule.MIXED);
    }

    @Test
    void aStreamWithoutSealIsFound() {
        ClientRequest request = ClientRequest.direct(CHAT, "s", 0);
        sent(START_MS, "a", request);
        ran(START_MS, MODEL, "a", request);
        events.add(new StreamBegun(START_MS, MODEL, "a", "seal"));
        events.add(new AttemptEnded(2, "a", 200, Optional.empty(), "", false, false));
        assertBroken(Rule.MIXED);
    }

    @Test
    void aRequestThatNoClientSentIsFound() {
        sent(START_MS, "a", ClientRequest.plain(WRITE, "x"));
        events.add(new Arrived(START_MS, SERVER, "a", false, "POST", "/write/x", "another body"));
        assertBroken(Rule.UNASKED);
    }

    @Test
    void anInterruptedStreamMayEndWithinAnEvent() {
        stream("a", 2, StreamEvents.stream("a", 1) + "id: 2", false, "seal");
        assertKept();
    }

    @Test
    void aCompleteStreamWithoutItsLastEventIsFound() {
        stream("a", 3, StreamEvents.stream("a", 2), true, "seal");
        assertBroken(Rule.ORDER);
    }

    @Test
    void aGapInAStreamIsFound() {
        stream("a", 3, StreamEvents.text("a", 1) + StreamEvents.text("a", 3), false, "seal");
        assertBroken(Rule.ORDER);
    }

    @Test
    void aSecondHeadOfAStreamIsFound() {
        stream("a", 3, StreamEvents.stream("a", 3), true, "seal", "another");
        assertBroken(Rule.ORDER);
    }

    @Test
    void aHandleThatIsFetchedTwiceIsFound() {
        events.add(new HandleCreated(START_MS, MODEL, "h", "a"));
        events.add(new HandleFetched(2, "h", "a"));
        assertKept();
        events.add(new HandleFetched(3, "h", "a"));
        assertBroken(Rule.HANDLE);
    }

    @Test
    void aHandleThatIsFetchedForAnotherRequestIsFound() {
        events.add(new HandleCreated(START_MS, MODEL, "h", "a"));
        events.add(new HandleFetched(2, "h", "b"));
        assertBroken(Rule.HANDLE);
    }

    @Test
    void aRunAtAServiceOfNoConfigurationIsFound() {
        served(START_MS, OTHER, "a", ClientRequest.plain(WRITE, "x"));
        assertBroken(Rule.ROUTE);
    }

    @Test
    void aRunByARejectedConfigurationIsFound() {
        FleetConfiguration rejected = FIRST.with(5, WRITE.movedTo("other"));
        events.add(new ChangeSent(
                START_MS, 3, Optional.of(rejected), rejected.json().toString()));
        served(START_MS, OTHER, "a", ClientRequest.plain(WRITE, "x"));
        assertKept();
        events.add(
                new ChangeAnswered(2, 3, Optional.of(rejected), rejected.json().toString(), 412));
        assertBroken(Rule.ROUTE);
    }

    @Test
    void aRequestThatReachesADrainingServerLateIsFound() {
        events.add(new ListedDraining(START_MS, SERVER));
        served(1 + FleetBounds.DRAIN_MS, SERVER, "a", ClientRequest.plain(WRITE, "x"));
        ClientRequest forAnotherInstance = ClientRequest.plain(WRITE, "y");
        sent(LATE_MS, "b", forAnotherInstance);
        events.add(new Arrived(
                LATE_MS, SERVER, "b", false, "POST", forAnotherInstance.target(), forAnotherInstance.body()));
        events.add(new RunRejected(LATE_MS, SERVER, "b", 421));
        assertKept();
        served(2 + FleetBounds.DRAIN_MS, SERVER, "c", ClientRequest.plain(WRITE, "x"));
        assertBroken(Rule.DRAIN);
    }

    @Test
    void aLostConfigurationIsFound() {
        acknowledged(FIRST.withVersion(5), 3, 1);
        events.add(new ReadBack(3, 2, "core", FIRST.json().toString()));
        assertBroken(Rule.CONFIG);
    }

    @Test
    void aConfigurationThatNoOperatorSentIsFound() {
        events.add(new ReadBack(3, 2, "core", FIRST.without(3, "read").json().toString()));
        assertBroken(Rule.CONFIG);
    }

    @Test
    void twoAcknowledgementsOnOneBaseAreFound() {
        acknowledged(FIRST.withVersion(5), 3, 1);
        acknowledged(FIRST.withVersion(5), 3, 1);
        assertKept();
        acknowledged(FIRST.withVersion(6), 3, 1);
        assertBroken(Rule.CONFIG);
    }

    @Test
    void anAcknowledgedInvalidConfigurationIsFound() {
        events.add(new ChangeAnswered(START_MS, 3, Optional.empty(), "{", 200));
        assertBroken(Rule.CONFIG);
    }

    @Test
    void aRequestHandledByAReplacedConfigurationIsFoundUnlessAProcessHadAFault() {
        acknowledged(FIRST.with(5, WRITE.movedTo("other")), 3, 1);
        served(FleetBounds.CONFIG_APPLY_MS, SERVER, "a", ClientRequest.plain(WRITE, "x"));
        assertKept();
        served(LATE_MS, SERVER, "b", ClientRequest.plain(WRITE, "x"));
        assertBroken(Rule.STALE);
        events.add(new ProcessFaulted(2, "core-0", MachineClass.CORE, ProcessFault.KILLED));
        assertKept();
    }

    @Test
    void aRouteThatIsNotFoundLongAfterItWasAddedIsFound() {
        sent(LATE_MS, "a", ClientRequest.plain(READ, "x"));
        events.add(new AttemptEnded(LATE_MS, "a", 404, Optional.empty(), "", true, false));
        assertBroken(Rule.STALE);
    }

    @Test
    void twoProcessesThatAlternateAtThePlatformAreFound() {
        events.add(new EndpointListRequested(START_MS, "core-0", 200));
        events.add(new EndpointListRequested(2, "core-1", 200));
        events.add(new EndpointListRequested(900, "core-0", 200));
        assertBroken(Rule.ONE);
    }

    @Test
    void aProcessThatWasJustThawedIsNoSecondCaller() {
        events.add(new EndpointListRequested(START_MS, "core-0", 200));
        events.add(new EndpointListRequested(1_500, "core-1", 200));
        events.add(new ProcessFaulted(2_400, "core-0", MachineClass.CORE, ProcessFault.THAWED));
        events.add(new EndpointListRequested(2_450, "core-0", 200));
        events.add(new EndpointListRequested(2_500, "core-1", 200));
        assertKept();
    }

    private void faulted(double atMs, ProcessFault fault) {
        events.add(new ProcessFaulted(atMs, "edge", MachineClass.EDGE, fault));
    }

    /** The client got no response to an attempt that was passed on. */
    private void cutOff(double sentAtMs, double endedAtMs, String id) {
        ClientRequest request = ClientRequest.plain(READ, "x");
        sent(sentAtMs, id, request);
        ran(sentAtMs, SERVER, id, request);
        endedWithoutResponse(endedAtMs, id);
    }

    private void endedWithoutResponse(double atMs, String id) {
        events.add(new AttemptEnded(atMs, id, 0, Optional.empty(), "", false, false));
    }

    @ParameterizedTest
    @EnumSource(
            value = ProcessFault.class,
            names = {"TERMINATED", "RELOADED"})
    void aRequestThatIsPassedOnAndCutOffAroundPlannedWorkIsFound(ProcessFault work) {
        faulted(LATE_MS, work);
        cutOff(START_MS, LATE_MS - 1, "before");
        assertKept();
        cutOff(LATE_MS - 1, LATE_MS + 1, "around");
        assertBroken(Rule.LOST);
    }

    @Test
    void aRequestThatIsCutOffBesideAKillOrAfterAFreezeIsNotLost() {
        faulted(LATE_MS, ProcessFault.TERMINATED);
        faulted(LATE_MS + 1, ProcessFault.KILLED);
        cutOff(LATE_MS, LATE_MS + 2, "killed");
        assertKept();
    }

    @Test
    void aRequestThatEndsUnservedOnAReusedConnectionLaterThanTheSlackIsLost() {
        faulted(LATE_MS, ProcessFault.TERMINATED);
        sent(LATE_MS, "a", ClientRequest.plain(WRITE, "x"));
        events.add(new ConnectionReused(LATE_MS, "a"));
        endedWithoutResponse(LATE_MS + FleetBounds.LOSS_SLACK_MS, "a");
        assertKept();
        sent(LATE_MS, "b", ClientRequest.plain(WRITE, "x"));
        events.add(new ConnectionReused(LATE_MS, "b"));
        endedWithoutResponse(LATE_MS + FleetBounds.LOSS_SLACK_MS + 1, "b");
        assertBroken(Rule.LOST);
    }

    @Test
    void aStallOfTheStandInsIsNotCountedAsTimeOfTheDataPlane() {
        faulted(LATE_MS, ProcessFault.TERMINATED);
        sent(LATE_MS, "a", ClientRequest.plain(WRITE, "x"));
        events.add(new ConnectionReused(LATE_MS, "a"));
        endedWithoutResponse(LATE_MS + FleetBounds.LOSS_SLACK_MS + 1, "a");
        assertBroken(Rule.LOST);
        events.add(new StandInsStalled(LATE_MS + 1, LATE_MS));
        assertKept();
    }

    @Test
    void aRequestThatItsServerStillRunsLateInTheGraceIsNotLost() {
        double lateInGraceMs = FleetBounds.GRACE_S * 900;
        faulted(START_MS, ProcessFault.TERMINATED);
        cutOff(START_MS, START_MS + lateInGraceMs, "a");
        events.add(new RunEnded(START_MS + lateInGraceMs, SERVER, "a", RunEnd.CALLER_LEFT));
        assertKept();
        cutOff(START_MS, START_MS + lateInGraceMs, "b");
        assertBroken(Rule.LOST);
    }

    @Test
    void aRequestWhoseServerCrashesIsNotLost() {
        faulted(START_MS, ProcessFault.TERMINATED);
        cutOff(START_MS, 2, "a");
        events.add(new RunEnded(2, SERVER, "a", RunEnd.CRASHED));
        assertKept();
    }

    @Test
    void moreThanThreeRequestsThatAreCutOffInCalmTimesAreFound() {
        for (String id : List.of("a", "b", "c")) {
            cutOff(START_MS, 2, id);
        }
        assertKept();
        cutOff(START_MS, 2, "d");
        assertBroken(Rule.LOST);
    }

    @Test
    void bytesThatNoRequestWaitsForAreFound() {
        events.add(new UnexpectedBytes(START_MS, "edge", "HTTP/1.1 200 OK"));
        assertBroken(Rule.MIXED);
    }
}
