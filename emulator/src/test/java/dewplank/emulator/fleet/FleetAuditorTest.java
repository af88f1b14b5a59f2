package dewplank.emulator.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.emulator.fleet.FleetEvent.Answered;
import dewplank.emulator.fleet.FleetEvent.Arrived;
import dewplank.emulator.fleet.FleetEvent.AttemptEnded;
import dewplank.emulator.fleet.FleetEvent.AttemptSent;
import dewplank.emulator.fleet.FleetEvent.ChangeAnswered;
import dewplank.emulator.fleet.FleetEvent.ChangeSent;
import dewplank.emulator.fleet.FleetEvent.EndpointListRequested;
import dewplank.emulator.fleet.FleetEvent.HandleCreated;
import dewplank.emulator.fleet.FleetEvent.HandleFetched;
import dewplank.emulator.fleet.FleetEvent.ListedDraining;
import dewplank.emulator.fleet.FleetEvent.ProcessFault;
import dewplank.emulator.fleet.FleetEvent.ProcessFaulted;
import dewplank.emulator.fleet.FleetEvent.ReadBack;
import dewplank.emulator.fleet.FleetEvent.RunRejected;
import dewplank.emulator.fleet.FleetEvent.RunStarted;
import dewplank.emulator.fleet.FleetEvent.StreamBegun;
import dewplank.emulator.fleet.FleetEvent.StreamBytes;
import dewplank.emulator.fleet.FleetEvent.StreamEventSent;
import dewplank.emulator.fleet.Violation.Rule;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Histories made by hand: one that keeps the rules, and each rule broken once. */
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
    private static final double LATE = 9_000;

    private final List<FleetEvent> events = new ArrayList<>();

    FleetAuditorTest() {
        taken(FIRST, 0, 0);
    }

    private void taken(FleetConfiguration document, long base, double at) {
        String text = document.json().toString();
        events.add(new ChangeSent(at, base, Optional.of(document), text));
        events.add(new ChangeAnswered(at, base, Optional.of(document), text, 200));
    }

    private void assertBroken(Rule... rules) {
        List<Rule> found = FleetAuditor.audit(events).stream()
                .map(Violation::rule)
                .distinct()
                .toList();
        assertEquals(List.of(rules), found, () -> FleetAuditor.audit(events).toString());
    }

    private void sent(double at, String id, ClientRequest request) {
        events.add(new AttemptSent(at, "edge", id, request));
    }

    private void ran(double at, ServerIdentity server, String id, ClientRequest r) {
        events.add(new Arrived(at, server, id, false, r.method(), r.target(), r.body()));
        events.add(new RunStarted(at, server, id));
    }

    private void answered(double at, String id, String seal, String body, String received) {
        events.add(new Answered(at, SERVER, id, 200, Optional.of(seal), body));
        events.add(new AttemptEnded(at, id, 200, Optional.of(seal), received, true, false));
    }

    private void served(double at, ServerIdentity server, String id, ClientRequest request) {
        sent(at, id, request);
        ran(at, server, id, request);
        answered(at, id, "seal-" + id, "body", "body");
    }

    private void stream(String id, int emitted, String received, boolean whole, String... seals) {
        ClientRequest request = ClientRequest.direct(CHAT, "s", 3);
        sent(1, id, request);
        ran(1, MODEL, id, request);
        events.add(new StreamBegun(1, MODEL, id, "seal"));
        for (int i = 1; i <= emitted; i++) {
            events.add(new StreamEventSent(1, MODEL, id, i, StreamEvents.text(id, i)));
        }
        for (String seal : seals) {
            events.add(new StreamBytes(1, id, 200, Optional.of(seal), received));
        }
        events.add(new AttemptEnded(2, id, 200, Optional.of("seal"), received, whole, false));
    }

    @Test
    void aHistoryThatKeepsTheRulesIsPassed() {
        served(1, SERVER, "a", ClientRequest.plain(WRITE, "x"));
        stream("b", 3, StreamEvents.stream("b", 3), true, "seal", "seal");
        events.add(new ReadBack(5, 4, "core", FIRST.json().toString()));
        events.add(new EndpointListRequested(1, "core-0", 200));
        events.add(new EndpointListRequested(2, "core-1", 200));
        events.add(new EndpointListRequested(100, "core-0", 200));
        events.add(new EndpointListRequested(900, "core-1", 200));
        assertBroken();
    }

    @Test
    void aSecondRunIsFoundWhereOneIsAllowed() {
        ClientRequest read = ClientRequest.plain(READ, "x");
        served(1, SERVER, "a", read);
        ran(2, SERVER, "a", read);
        assertBroken();
        ClientRequest write = ClientRequest.plain(WRITE, "x");
        served(1, SERVER, "b", write);
        ran(2, SERVER, "b", write);
        assertBroken(Rule.TWICE);
    }

    @Test
    void aRunBehindARefusalIsFound() {
        ClientRequest write = ClientRequest.plain(WRITE, "x");
        sent(1, "a", write);
        events.add(new AttemptEnded(2, "a", 503, Optional.empty(), "", true, false));
        assertBroken();
        ran(3, SERVER, "a", write);
        assertBroken(Rule.REFUSED);
    }

    @Test
    void aSuccessThatIsNotTheServersIsFound() {
        ClientRequest write = ClientRequest.plain(WRITE, "x");
        sent(1, "a", write);
        ran(1, SERVER, "a", write);
        answered(1, "a", "seal", "body", "bod");
        assertBroken(Rule.MIXED);
    }

    @Test
    void aSuccessWithoutSealIsFound() {
        sent(1, "a", ClientRequest.plain(WRITE, "x"));
        events.add(new AttemptEnded(2, "a", 200, Optional.empty(), "body", true, false));
        assertBroken(Rule.MIXED);
    }

    @Test
    void aRequestThatNobodySentIsFound() {
        sent(1, "a", ClientRequest.plain(WRITE, "x"));
        events.add(new Arrived(1, SERVER, "a", false, "POST", "/write/x", "another body"));
        assertBroken(Rule.UNASKED);
    }

    @Test
    void aStreamThatIsCutMayEndWithinAnEvent() {
        stream("a", 2, StreamEvents.stream("a", 1) + "id: 2", false, "seal");
        assertBroken();
    }

    @Test
    void aStreamThatEndsTooEarlyIsFound() {
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
    void aHandleTakenTwiceOrForAnotherIsFound() {
        events.add(new HandleCreated(1, MODEL, "h", "a"));
        events.add(new HandleFetched(2, "h", "a"));
        assertBroken();
        events.add(new HandleFetched(3, "h", "a"));
        assertBroken(Rule.HANDLE);
    }

    @Test
    void aHandleTakenForAnotherRequestIsFound() {
        events.add(new HandleCreated(1, MODEL, "h", "a"));
        events.add(new HandleFetched(2, "h", "b"));
        assertBroken(Rule.HANDLE);
    }

    @Test
    void aRunWhereNoConfigurationSendsItIsFound() {
        served(1, OTHER, "a", ClientRequest.plain(WRITE, "x"));
        assertBroken(Rule.ROUTE);
    }

    @Test
    void aRunByAConfigurationThatWasRefusedIsFound() {
        FleetConfiguration refused = FIRST.with(5, WRITE.movedTo("other"));
        events.add(new ChangeSent(1, 3, Optional.of(refused), refused.json().toString()));
        served(1, OTHER, "a", ClientRequest.plain(WRITE, "x"));
        assertBroken();
        events.add(new ChangeAnswered(2, 3, Optional.of(refused), refused.json().toString(), 412));
        assertBroken(Rule.ROUTE);
    }

    @Test
    void aRequestThatReachesADrainingServerLateIsFound() {
        events.add(new ListedDraining(1, SERVER));
        served(1 + FleetBounds.DRAIN_MS, SERVER, "a", ClientRequest.plain(WRITE, "x"));
        ClientRequest meantForAnother = ClientRequest.plain(WRITE, "y");
        sent(LATE, "b", meantForAnother);
        events.add(new Arrived(LATE, SERVER, "b", false, "POST", meantForAnother.target(), meantForAnother.body()));
        events.add(new RunRejected(LATE, SERVER, "b", 421));
        assertBroken();
        served(2 + FleetBounds.DRAIN_MS, SERVER, "c", ClientRequest.plain(WRITE, "x"));
        assertBroken(Rule.DRAIN);
    }

    @Test
    void aLostConfigurationIsFound() {
        taken(FIRST.withVersion(5), 3, 1);
        events.add(new ReadBack(3, 2, "core", FIRST.json().toString()));
        assertBroken(Rule.CONFIG);
    }

    @Test
    void aConfigurationThatNobodySentIsFound() {
        events.add(new ReadBack(3, 2, "core", FIRST.without(3, "read").json().toString()));
        assertBroken(Rule.CONFIG);
    }

    @Test
    void twoAcknowledgementsOnOneBaseAreFound() {
        taken(FIRST.withVersion(5), 3, 1);
        taken(FIRST.withVersion(5), 3, 1);
        assertBroken();
        taken(FIRST.withVersion(6), 3, 1);
        assertBroken(Rule.CONFIG);
    }

    @Test
    void anAcknowledgedInvalidConfigurationIsFound() {
        events.add(new ChangeAnswered(1, 3, Optional.empty(), "{", 200));
        assertBroken(Rule.CONFIG);
    }

    @Test
    void aRequestHandledByAnOldConfigurationIsFound() {
        taken(FIRST.with(5, WRITE.movedTo("other")), 3, 1);
        served(FleetBounds.CONFIG_APPLY_MS, SERVER, "a", ClientRequest.plain(WRITE, "x"));
        assertBroken();
        served(LATE, SERVER, "b", ClientRequest.plain(WRITE, "x"));
        assertBroken(Rule.STALE);
        events.add(new ProcessFaulted(2, "core-0", MachineClass.CORE, ProcessFault.KILLED));
        assertBroken();
    }

    @Test
    void aRouteThatIsNotFoundLongAfterItWasAddedIsFound() {
        sent(LATE, "a", ClientRequest.plain(READ, "x"));
        events.add(new AttemptEnded(LATE, "a", 404, Optional.empty(), "", true, false));
        assertBroken(Rule.STALE);
    }

    @Test
    void callersThatTakeTurnsAtThePlatformAreFound() {
        events.add(new EndpointListRequested(1, "core-0", 200));
        events.add(new EndpointListRequested(2, "core-1", 200));
        events.add(new EndpointListRequested(900, "core-0", 200));
        assertBroken(Rule.ONE);
    }

    @Test
    void oneThatWasJustThawedIsNoSecondCaller() {
        events.add(new EndpointListRequested(1, "core-0", 200));
        events.add(new EndpointListRequested(1_500, "core-1", 200));
        events.add(new ProcessFaulted(2_400, "core-0", MachineClass.CORE, ProcessFault.THAWED));
        events.add(new EndpointListRequested(2_450, "core-0", 200));
        events.add(new EndpointListRequested(2_500, "core-1", 200));
        assertBroken();
    }
}
