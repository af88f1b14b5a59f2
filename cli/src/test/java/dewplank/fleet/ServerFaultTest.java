package dewplank.fleet;

import static dewplank.fleet.FleetHarness.CHAT;
import static dewplank.fleet.FleetHarness.EVENT_COUNT;
import static dewplank.fleet.FleetHarness.READ;
import static dewplank.fleet.FleetHarness.TALK;
import static dewplank.fleet.FleetHarness.WRITE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.fleet.ClientAttempt;
import dewplank.emulator.fleet.ClientRequest;
import dewplank.emulator.fleet.FleetEvent.Arrived;
import dewplank.emulator.fleet.FleetEvent.HandleCreated;
import dewplank.emulator.fleet.FleetEvent.HandleFreed;
import dewplank.emulator.fleet.FleetEvent.RunEnd;
import dewplank.emulator.fleet.FleetEvent.RunEnded;
import dewplank.emulator.fleet.FleetEvent.RunRejected;
import dewplank.emulator.fleet.FleetEvent.RunStarted;
import dewplank.emulator.fleet.FleetEvent.StreamEventSent;
import dewplank.emulator.fleet.Futures;
import dewplank.emulator.fleet.ModelServer;
import dewplank.emulator.fleet.PlainServer;
import dewplank.emulator.fleet.RouteSpec;
import dewplank.emulator.fleet.StandInServer.Behaviour;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Servers crash, don't respond, reject requests or are replaced, and clients disconnect. A data plane picks one of two
 * servers of a kind, so each test ensures that the faulty server receives a request.
 */
class ServerFaultTest {
    private static final int PAUSE_AFTER_EVENTS = 4;
    private static final int REQUESTS = 4;

    /** A stream that is paused after {@link #PAUSE_AFTER_EVENTS} events, and the server that sends it. */
    private record PausedStream(ClientAttempt stream, ModelServer server) {}

    private static PausedStream pauseStream(FleetHarness harness, ClientRequest request) throws Exception {
        harness.decodeServers.forEach(server -> server.pauseStreamsAfter(PAUSE_AFTER_EVENTS));
        ClientAttempt stream = harness.send(0, request);
        StreamEventSent sent = harness.await(
                "the stream has started",
                StreamEventSent.class,
                event -> event.id() == PAUSE_AFTER_EVENTS && event.attemptId().equals(stream.id()));
        ModelServer server = FleetHarness.serverOf(harness.decodeServers, sent.server());
        return new PausedStream(stream, server);
    }

    @Test
    void aResumableStreamIsContinuedAtAnotherServerWithinOneResponse() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            PausedStream paused = pauseStream(harness, FleetHarness.generation(TALK, "resumed"));
            paused.server().crash();
            harness.decodeServers.forEach(ModelServer::resumeStreams);
            assertTrue(Futures.await(paused.stream().ended()).served());
            List<StreamEventSent> sent = harness.events(StreamEventSent.class);
            assertEquals(
                    2,
                    sent.stream()
                            .map(event -> event.server().instanceId())
                            .distinct()
                            .count());
        });
    }

    @Test
    void aStreamThatIsNotResumableIsAbortedIfItsServerCrashes() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            PausedStream paused = pauseStream(harness, FleetHarness.generation(CHAT, "cut"));
            paused.server().crash();
            harness.decodeServers.forEach(ModelServer::resumeStreams);
            ClientAttempt.Outcome outcome = Futures.await(paused.stream().ended());
            assertEquals(200, outcome.status());
            assertFalse(outcome.complete(), "an aborted stream must not look complete");
            assertEquals(1, harness.events(RunStarted.class).size());
        });
    }

    @Test
    void anotherPrefillServerIsUsedIfOneIsUnresponsive() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            harness.prefillServers.forEach(server -> server.behaviour(Behaviour.UNRESPONSIVE));
            ClientAttempt first = harness.send(0, FleetHarness.generation(CHAT, "first"));
            Arrived arrivedPrompt = harness.await(
                    "the prompt at an unresponsive prefill server",
                    Arrived.class,
                    arrival -> arrival.attemptId().equals(first.id()) && arrival.prefill());
            ModelServer working = FleetHarness.serverOtherThan(harness.prefillServers, arrivedPrompt.server());
            working.behaviour(Behaviour.WORKS);
            assertTrue(Futures.await(first.ended()).served());
            assertGenerationsServed(harness);
            List<HandleCreated> created = harness.events(HandleCreated.class);
            assertFalse(created.isEmpty(), "no prefill server processed a prompt");
            assertTrue(
                    created.stream().allMatch(handle -> handle.server().equals(working.identity())),
                    created.toString());
        });
    }

    @Test
    void aDecodeServerPrefillsIfEveryPrefillServerIsUnresponsive() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            harness.prefillServers.forEach(server -> server.behaviour(Behaviour.UNRESPONSIVE));
            assertGenerationsServed(harness);
        });
    }

    @Test
    void aRequestWhoseHandleIsRejectedIsServed() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            harness.decodeServers.forEach(ModelServer::failHandleFetches);
            for (int i = 0; i < REQUESTS; i++) {
                ClientRequest request = FleetHarness.generation(CHAT, "rejected" + i);
                harness.awaitState(
                        "a rejected handle of request " + i, () -> isServedAfterHandleRejection(harness, request));
                awaitRunAtEachDecodeServer(harness);
            }
        });
    }

    /** False if the request had no handle because the prefill exceeded its time limit; the caller repeats it. */
    private static boolean isServedAfterHandleRejection(FleetHarness harness, ClientRequest request) {
        ClientAttempt attempt = harness.send(0, request);
        ClientAttempt.Outcome outcome = Futures.await(attempt.ended());
        assertTrue(outcome.served(), outcome.toString());
        return harness.events(RunRejected.class).stream()
                .anyMatch(run -> run.attemptId().equals(attempt.id()));
    }

    /**
     * Runs generations without a handle, which no server rejects, until each server has run one. A server is not picked
     * for a while after it rejected a request; if the other one rejects a request meanwhile, the response is 503.
     */
    private static void awaitRunAtEachDecodeServer(FleetHarness harness) throws Exception {
        for (ModelServer server : harness.decodeServers) {
            String instance = server.identity().instanceId();
            harness.awaitState("a run at " + instance, () -> {
                ClientAttempt attempt = harness.send(0, ClientRequest.direct(CHAT, "direct", EVENT_COUNT));
                assertTrue(Futures.await(attempt.ended()).served());
                return harness.events(RunStarted.class).stream()
                        .filter(run -> run.attemptId().equals(attempt.id()))
                        .anyMatch(run -> run.server().equals(server.identity()));
            });
        }
    }

    private static void assertGenerationsServed(FleetHarness harness) {
        for (int i = 0; i < REQUESTS; i++) {
            harness.assertServed(0, FleetHarness.generation(CHAT, "split" + i));
        }
    }

    @Test
    void aRunIsCancelledAtTheServerWhenItsClientDisconnects() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            PausedStream paused = pauseStream(harness, FleetHarness.generation(CHAT, "left"));
            paused.stream().abandon();
            harness.await(
                    "the run is cancelled",
                    RunEnded.class,
                    event -> event.attemptId().equals(paused.stream().id()) && event.end() == RunEnd.CALLER_LEFT);
        });
    }

    /** The client disconnects before the decode server has fetched the KV cache from the prefill server. */
    @Test
    void anUnfetchedHandleIsFreedWhenItsClientDisconnects() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            harness.decodeServers.forEach(ModelServer::stallHandleFetches);
            ClientAttempt stream = harness.send(0, FleetHarness.generation(CHAT, "left"));
            harness.await(
                    "the request waits at a decode server",
                    Arrived.class,
                    arrival -> arrival.attemptId().equals(stream.id()) && !arrival.prefill());
            stream.abandon();
            awaitHandleFreed(harness, stream);
        });
    }

    @Test
    void theHandleOfARequestThatEveryDecodeServerRejectsIsFreed() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            harness.decodeServers.forEach(server -> server.behaviour(Behaviour.FULL));
            ClientAttempt stream = harness.send(0, FleetHarness.generation(CHAT, "refused"));
            assertEquals(503, Futures.await(stream.ended()).status());
            awaitHandleFreed(harness, stream);
        });
    }

    private static void awaitHandleFreed(FleetHarness harness, ClientAttempt stream) throws Exception {
        HandleCreated created = harness.await(
                "a handle", HandleCreated.class, handle -> handle.attemptId().equals(stream.id()));
        harness.await(created.handle() + " is freed", HandleFreed.class, freed -> freed.handle()
                .equals(created.handle()));
    }

    @Test
    void anUnsafeRequestWhoseServerCrashesIsNotRetried() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            assertEquals(
                    502,
                    crashDuringRun(harness, ClientRequest.plain(WRITE, "once")).status());
            assertEquals(1, harness.events(RunStarted.class).size());
        });
    }

    @Test
    void aSafeRequestWhoseServerCrashesIsRetriedAtAnother() throws Exception {
        FleetHarness.run(
                1,
                1,
                harness -> assertTrue(crashDuringRun(harness, ClientRequest.plain(READ, "again"))
                        .served()));
    }

    /** Crashes the server that runs the request; the other server responds to requests. */
    private static ClientAttempt.Outcome crashDuringRun(FleetHarness harness, ClientRequest request) throws Exception {
        harness.plainServers.forEach(server -> server.behaviour(Behaviour.UNRESPONSIVE));
        ClientAttempt attempt = harness.send(0, request);
        RunStarted run = harness.await(
                "a run", RunStarted.class, started -> started.attemptId().equals(attempt.id()));
        harness.plainServers.forEach(server -> server.behaviour(Behaviour.WORKS));
        FleetHarness.serverOf(harness.plainServers, run.server()).crash();
        return Futures.await(attempt.ended());
    }

    /** The first request always reaches the other server; afterwards the data plane may avoid the address. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aServerThatReusesAnAddressRunsNoRequestsOfThePreviousServer(boolean safe) throws Exception {
        RouteSpec route = safe ? READ : WRITE;
        FleetHarness.run(1, 1, harness -> {
            PlainServer replaced = serverOfNextRequest(harness);
            PlainServer other = harness.fleet.reuseAddress(replaced, "other");
            for (int i = 0; i < REQUESTS; i++) {
                harness.assertServed(0, ClientRequest.plain(route, "r" + i));
            }
            assertFalse(rejections(harness, other).isEmpty(), "no request reached the other server");
            assertTrue(harness.events(RunStarted.class).stream()
                    .noneMatch(run -> run.server().equals(other.identity())));
        });
    }

    @Test
    void aRequestThatAFullServerRejectsIsServedByAnother() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            PlainServer full = serverOfNextRequest(harness);
            full.behaviour(Behaviour.FULL);
            for (int i = 0; i < REQUESTS; i++) {
                RouteSpec route = i % 2 == 0 ? READ : WRITE;
                harness.assertServed(0, ClientRequest.plain(route, "full" + i));
            }
            for (RouteSpec route : List.of(READ, WRITE)) {
                harness.awaitState(
                        "a rejected request of " + route.name(),
                        () -> isServedAfterRejection(harness, ClientRequest.plain(route, "rejected"), full));
            }
        });
    }

    /** False if the full server received no request: a data plane avoids a server for a while after a rejection. */
    private static boolean isServedAfterRejection(FleetHarness harness, ClientRequest request, PlainServer full) {
        ClientAttempt attempt = harness.send(0, request);
        ClientAttempt.Outcome outcome = Futures.await(attempt.ended());
        assertTrue(outcome.served(), outcome.toString());
        return rejections(harness, full).stream()
                .anyMatch(run -> run.attemptId().equals(attempt.id()));
    }

    @Test
    void aSafeRequestAtAnUnresponsiveServerIsRetriedAtAnother() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            PlainServer unresponsive = serverOfNextRequest(harness);
            unresponsive.behaviour(Behaviour.UNRESPONSIVE);
            for (int i = 0; i < 2; i++) {
                harness.assertServed(0, ClientRequest.plain(READ, "unanswered" + i));
            }
            assertTrue(
                    harness.events(RunStarted.class).stream()
                            .anyMatch(run -> run.server().equals(unresponsive.identity())),
                    "no request reached the unresponsive server");
        });
    }

    /**
     * Keeps a request in flight at one plain server and returns the other one. That server receives the next request,
     * because a data plane picks the server with fewer requests in flight.
     */
    private static PlainServer serverOfNextRequest(FleetHarness harness) throws Exception {
        harness.plainServers.forEach(server -> server.behaviour(Behaviour.UNRESPONSIVE));
        ClientAttempt pending = harness.send(0, ClientRequest.plain(WRITE, "pending"));
        RunStarted run = harness.await(
                "a run", RunStarted.class, started -> started.attemptId().equals(pending.id()));
        harness.plainServers.forEach(server -> server.behaviour(Behaviour.WORKS));
        return FleetHarness.serverOtherThan(harness.plainServers, run.server());
    }

    private static List<RunRejected> rejections(FleetHarness harness, PlainServer server) {
        return harness.events(RunRejected.class).stream()
                .filter(run -> run.server().equals(server.identity()))
                .toList();
    }
}
