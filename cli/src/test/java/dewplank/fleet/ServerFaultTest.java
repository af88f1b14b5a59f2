package dewplank.fleet;

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

/** Servers die, are silent or turn requests away; clients leave. */
class ServerFaultTest {
    private static final int PAUSED_AFTER = 4;
    private static final int REQUESTS = 4;

    /** A stream that is held in its middle, and the server that sends it. */
    private record PausedStream(ClientAttempt stream, ModelServer server) {}

    private static PausedStream pauseStream(FleetHarness harness, ClientRequest request) throws Exception {
        harness.decodeServers.forEach(d -> d.pauseStreamsAfter(PAUSED_AFTER));
        ClientAttempt stream = harness.fleet.client().send(harness.fleet.edge(0), request);
        StreamEventSent emitted = harness.fleet
                .history()
                .await(
                        "the stream is under way",
                        StreamEventSent.class,
                        e -> e.id() == PAUSED_AFTER && e.attemptId().equals(stream.id()));
        ModelServer server = harness.decodeServers.stream()
                .filter(d -> d.identity().equals(emitted.server()))
                .findFirst()
                .orElseThrow();
        return new PausedStream(stream, server);
    }

    @Test
    void aResumableStreamIsContinuedAtAnotherServerWithinOneResponse() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            PausedStream paused =
                    pauseStream(harness, ClientRequest.split(FleetHarness.TALK, "resumed", FleetHarness.EVENT_COUNT));
            paused.server().crash();
            harness.decodeServers.forEach(ModelServer::resumeStreams);
            assertTrue(Futures.await(paused.stream().ended()).served());
            List<StreamEventSent> emitted = harness.fleet.history().events(StreamEventSent.class);
            assertEquals(
                    2,
                    emitted.stream()
                            .map(e -> e.server().instanceId())
                            .distinct()
                            .count());
        });
    }

    @Test
    void aStreamThatIsNotResumableIsBrokenOffAndNotCompleted() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            PausedStream paused =
                    pauseStream(harness, ClientRequest.split(FleetHarness.CHAT, "cut", FleetHarness.EVENT_COUNT));
            paused.server().crash();
            harness.decodeServers.forEach(ModelServer::resumeStreams);
            ClientAttempt.Outcome outcome = Futures.await(paused.stream().ended());
            assertEquals(200, outcome.status());
            assertFalse(outcome.complete(), "a stream that was cut must not look complete");
            assertEquals(1, harness.fleet.history().events(RunStarted.class).size());
        });
    }

    @Test
    void anotherPrefillServerIsUsedWhereOneIsUnresponsive() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            harness.prefillServers.forEach(p -> p.behaviour(Behaviour.UNRESPONSIVE));
            ClientAttempt first = harness.fleet
                    .client()
                    .send(
                            harness.fleet.edge(0),
                            ClientRequest.split(FleetHarness.CHAT, "first", FleetHarness.EVENT_COUNT));
            Arrived silent = harness.fleet
                    .history()
                    .await(
                            "the prompt at a silent prefill server",
                            Arrived.class,
                            a -> a.attemptId().equals(first.id()) && a.prefill());
            ModelServer working = harness.prefillServers.stream()
                    .filter(p -> !p.identity().equals(silent.server()))
                    .findFirst()
                    .orElseThrow();
            working.behaviour(Behaviour.WORKS);
            assertTrue(Futures.await(first.ended()).served());
            assertGenerationsServed(harness);
            List<HandleCreated> created = harness.fleet.history().events(HandleCreated.class);
            assertFalse(created.isEmpty(), "no prefill server read a prompt");
            assertTrue(created.stream().allMatch(h -> h.server().equals(working.identity())), created.toString());
        });
    }

    @Test
    void aDecodeServerPrefillsWhereEveryPrefillServerIsUnresponsive() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            harness.prefillServers.forEach(p -> p.behaviour(Behaviour.UNRESPONSIVE));
            assertGenerationsServed(harness);
        });
    }

    @Test
    void aRequestWhoseHandleIsRejectedIsServed() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            harness.decodeServers.forEach(ModelServer::rejectHandles);
            assertGenerationsServed(harness);
            long rejected = harness.fleet.history().events(RunRejected.class).stream()
                    .map(RunRejected::attemptId)
                    .distinct()
                    .count();
            assertEquals(REQUESTS, rejected, "requests whose handle was rejected");
        });
    }

    private static void assertGenerationsServed(FleetHarness harness) {
        for (int i = 0; i < REQUESTS; i++) {
            harness.assertServed(0, ClientRequest.split(FleetHarness.CHAT, "split" + i, FleetHarness.EVENT_COUNT));
        }
    }

    @Test
    void aRunIsCancelledAtTheServerWhenItsClientDisconnects() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            PausedStream paused =
                    pauseStream(harness, ClientRequest.split(FleetHarness.CHAT, "left", FleetHarness.EVENT_COUNT));
            paused.stream().abandon();
            harness.fleet
                    .history()
                    .await(
                            "the run ends",
                            RunEnded.class,
                            e -> e.attemptId().equals(paused.stream().id()) && e.how() == RunEnd.CALLER_LEFT);
        });
    }

    /** The decode server had not fetched what the prefill server keeps: nobody will. */
    @Test
    void anUnfetchedHandleIsFreedWhenItsClientDisconnects() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            harness.decodeServers.forEach(ModelServer::stallHandleFetches);
            ClientAttempt stream = harness.fleet
                    .client()
                    .send(
                            harness.fleet.edge(0),
                            ClientRequest.split(FleetHarness.CHAT, "left", FleetHarness.EVENT_COUNT));
            harness.fleet
                    .history()
                    .await(
                            "the request waits at a decode server",
                            Arrived.class,
                            a -> a.attemptId().equals(stream.id()) && !a.prefill());
            stream.abandon();
            awaitHandleFreed(harness, stream);
        });
    }

    @Test
    void theHandleOfARequestThatEveryDecodeServerRejectsIsFreed() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            harness.decodeServers.forEach(d -> d.behaviour(Behaviour.FULL));
            ClientAttempt stream = harness.fleet
                    .client()
                    .send(
                            harness.fleet.edge(0),
                            ClientRequest.split(FleetHarness.CHAT, "refused", FleetHarness.EVENT_COUNT));
            assertEquals(503, Futures.await(stream.ended()).status());
            awaitHandleFreed(harness, stream);
        });
    }

    private static void awaitHandleFreed(FleetHarness harness, ClientAttempt stream) throws Exception {
        HandleCreated made = harness.fleet.history().await("a handle", HandleCreated.class, h -> h.attemptId()
                .equals(stream.id()));
        harness.fleet.history().await(made.handle() + " is freed", HandleFreed.class, f -> f.handle()
                .equals(made.handle()));
    }

    @Test
    void anUnsafeRequestWhoseServerCrashesIsNotRetried() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            assertEquals(
                    502,
                    crashDuringRun(harness, ClientRequest.plain(FleetHarness.WRITE, "once"))
                            .status());
            assertEquals(1, harness.fleet.history().events(RunStarted.class).size());
        });
    }

    @Test
    void aSafeRequestWhoseServerCrashesIsRetriedAtAnother() throws Exception {
        FleetHarness.run(
                1,
                1,
                harness -> assertTrue(crashDuringRun(harness, ClientRequest.plain(FleetHarness.READ, "again"))
                        .served()));
    }

    /** The request's server dies while it works on it; the others answer. */
    private static ClientAttempt.Outcome crashDuringRun(FleetHarness harness, ClientRequest request) throws Exception {
        harness.plainServers.forEach(p -> p.behaviour(Behaviour.UNRESPONSIVE));
        ClientAttempt sent = harness.fleet.client().send(harness.fleet.edge(0), request);
        RunStarted ran = harness.fleet.history().await("a run", RunStarted.class, r -> r.attemptId()
                .equals(sent.id()));
        harness.plainServers.forEach(p -> p.behaviour(Behaviour.WORKS));
        harness.plainServers.stream()
                .filter(p -> p.identity().equals(ran.server()))
                .findFirst()
                .orElseThrow()
                .crash();
        return Futures.await(sent.ended());
    }

    @Test
    void aServerAtTheAddressOfAnotherRunsNoneOfItsRequests() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            PlainServer replaced = serverOfNextRequest(harness);
            PlainServer other = harness.fleet.reuseAddress(replaced, "other");
            for (int i = 0; i < REQUESTS; i++) {
                harness.assertServed(
                        0, ClientRequest.plain(i % 2 == 0 ? FleetHarness.READ : FleetHarness.WRITE, "r" + i));
            }
            assertEquals(REQUESTS, rejections(harness, other).size(), "requests that reached the other server");
            assertTrue(harness.fleet.history().events(RunStarted.class).stream()
                    .noneMatch(r -> r.server().equals(other.identity())));
        });
    }

    @Test
    void aRequestThatAFullServerRejectsIsServedByAnother() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            PlainServer full = serverOfNextRequest(harness);
            full.behaviour(Behaviour.FULL);
            for (int i = 0; i < REQUESTS; i++) {
                RouteSpec route = i % 2 == 0 ? FleetHarness.READ : FleetHarness.WRITE;
                harness.assertServed(0, ClientRequest.plain(route, "full" + i));
            }
            for (RouteSpec route : List.of(FleetHarness.READ, FleetHarness.WRITE)) {
                harness.fleet
                        .history()
                        .awaitState(
                                "a rejected request of " + route.name(),
                                () -> isServedAfterRejection(harness, ClientRequest.plain(route, "rejected"), full));
            }
        });
    }

    /** The data plane doesn't send to a server for a while after it rejected a request. */
    private static boolean isServedAfterRejection(FleetHarness harness, ClientRequest request, PlainServer full) {
        ClientAttempt attempt = harness.fleet.client().send(harness.fleet.edge(0), request);
        ClientAttempt.Outcome outcome = Futures.await(attempt.ended());
        assertTrue(outcome.served(), outcome.toString());
        return rejections(harness, full).stream().anyMatch(r -> r.attemptId().equals(attempt.id()));
    }

    @Test
    void aSafeRequestAtAnUnresponsiveServerIsRetriedAtAnother() throws Exception {
        FleetHarness.run(1, 1, harness -> {
            PlainServer silent = serverOfNextRequest(harness);
            silent.behaviour(Behaviour.UNRESPONSIVE);
            for (int i = 0; i < 2; i++) {
                harness.assertServed(0, ClientRequest.plain(FleetHarness.READ, "silent" + i));
            }
            assertTrue(
                    harness.fleet.history().events(RunStarted.class).stream()
                            .anyMatch(r -> r.server().equals(silent.identity())),
                    "no request reached the silent server");
        });
    }

    /**
     * Keeps a request in flight at one plain server. The other one, which is returned, certainly gets the next request:
     * of two servers a data plane picks the one with fewer requests in flight.
     */
    private static PlainServer serverOfNextRequest(FleetHarness harness) throws Exception {
        harness.plainServers.forEach(p -> p.behaviour(Behaviour.UNRESPONSIVE));
        ClientAttempt pending =
                harness.fleet.client().send(harness.fleet.edge(0), ClientRequest.plain(FleetHarness.WRITE, "pending"));
        RunStarted run = harness.fleet.history().await("a run", RunStarted.class, r -> r.attemptId()
                .equals(pending.id()));
        harness.plainServers.forEach(p -> p.behaviour(Behaviour.WORKS));
        return harness.plainServers.stream()
                .filter(p -> !p.identity().equals(run.server()))
                .findFirst()
                .orElseThrow();
    }

    private static List<RunRejected> rejections(FleetHarness harness, PlainServer server) {
        return harness.fleet.history().events(RunRejected.class).stream()
                .filter(r -> r.server().equals(server.identity()))
                .toList();
    }
}
