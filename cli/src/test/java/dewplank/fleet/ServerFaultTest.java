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
    private record Held(ClientAttempt stream, ModelServer server) {}

    private static Held hold(FleetStory story, ClientRequest request) throws Exception {
        story.decode.forEach(d -> d.pauseStreamsAfter(PAUSED_AFTER));
        ClientAttempt stream = story.fleet.client().send(story.fleet.edge(0), request);
        StreamEventSent emitted = story.fleet
                .history()
                .await(
                        "the stream is under way",
                        StreamEventSent.class,
                        e -> e.id() == PAUSED_AFTER && e.attemptId().equals(stream.id()));
        ModelServer server = story.decode.stream()
                .filter(d -> d.identity().equals(emitted.server()))
                .findFirst()
                .orElseThrow();
        return new Held(stream, server);
    }

    @Test
    void aResumableStreamIsContinuedAtAnotherServerWithinOneAnswer() throws Exception {
        FleetStory.tell(1, 1, story -> {
            Held held = hold(story, ClientRequest.split(FleetStory.TALK, "resumed", FleetStory.EVENTS));
            held.server().crash();
            story.decode.forEach(ModelServer::resumeStreams);
            assertTrue(Futures.await(held.stream().ended()).served());
            List<StreamEventSent> emitted = story.fleet.history().events(StreamEventSent.class);
            assertEquals(
                    2,
                    emitted.stream()
                            .map(e -> e.server().instanceId())
                            .distinct()
                            .count());
        });
    }

    @Test
    void aStreamThatMayNotBeResumedIsCutAndNotCompleted() throws Exception {
        FleetStory.tell(1, 1, story -> {
            Held held = hold(story, ClientRequest.split(FleetStory.CHAT, "cut", FleetStory.EVENTS));
            held.server().crash();
            story.decode.forEach(ModelServer::resumeStreams);
            ClientAttempt.Outcome outcome = Futures.await(held.stream().ended());
            assertEquals(200, outcome.status());
            assertFalse(outcome.complete(), "a stream that was cut must not look complete");
            assertEquals(1, story.fleet.history().events(RunStarted.class).size());
        });
    }

    @Test
    void anotherServerReadsThePromptWhereOnePrefillServerIsSilent() throws Exception {
        FleetStory.tell(1, 1, story -> {
            story.prefill.forEach(p -> p.behaviour(Behaviour.UNRESPONSIVE));
            ClientAttempt first = story.fleet
                    .client()
                    .send(story.fleet.edge(0), ClientRequest.split(FleetStory.CHAT, "first", FleetStory.EVENTS));
            Arrived silent = story.fleet
                    .history()
                    .await(
                            "the prompt at a silent prefill server",
                            Arrived.class,
                            a -> a.attemptId().equals(first.id()) && a.prefill());
            ModelServer working = story.prefill.stream()
                    .filter(p -> !p.identity().equals(silent.server()))
                    .findFirst()
                    .orElseThrow();
            working.behaviour(Behaviour.WORKS);
            assertTrue(Futures.await(first.ended()).served());
            serveSplit(story);
            List<HandleCreated> created = story.fleet.history().events(HandleCreated.class);
            assertFalse(created.isEmpty(), "no prefill server read a prompt");
            assertTrue(created.stream().allMatch(h -> h.server().equals(working.identity())), created.toString());
        });
    }

    @Test
    void aDecodeServerReadsThePromptWhereEveryPrefillServerIsSilent() throws Exception {
        FleetStory.tell(1, 1, story -> {
            story.prefill.forEach(p -> p.behaviour(Behaviour.UNRESPONSIVE));
            serveSplit(story);
        });
    }

    @Test
    void aRequestWhoseHandleIsRejectedIsServedAllTheSame() throws Exception {
        FleetStory.tell(1, 1, story -> {
            story.decode.forEach(ModelServer::rejectHandles);
            serveSplit(story);
            long rejected = story.fleet.history().events(RunRejected.class).stream()
                    .map(RunRejected::attemptId)
                    .distinct()
                    .count();
            assertEquals(REQUESTS, rejected, "requests whose handle was rejected");
        });
    }

    private static void serveSplit(FleetStory story) {
        for (int i = 0; i < REQUESTS; i++) {
            story.assertServed(0, ClientRequest.split(FleetStory.CHAT, "split" + i, FleetStory.EVENTS));
        }
    }

    @Test
    void theWorkOfAClientThatLeavesIsEndedAtTheServer() throws Exception {
        FleetStory.tell(1, 1, story -> {
            Held held = hold(story, ClientRequest.split(FleetStory.CHAT, "left", FleetStory.EVENTS));
            held.stream().abandon();
            story.fleet
                    .history()
                    .await(
                            "the run ends",
                            RunEnded.class,
                            e -> e.attemptId().equals(held.stream().id()) && e.how() == RunEnd.CALLER_LEFT);
        });
    }

    /** The decode server had not fetched what the prefill server keeps: nobody will. */
    @Test
    void theHandleOfAClientThatLeavesBeforeItIsFetchedIsFreed() throws Exception {
        FleetStory.tell(1, 1, story -> {
            story.decode.forEach(ModelServer::stallHandleFetches);
            ClientAttempt stream = story.fleet
                    .client()
                    .send(story.fleet.edge(0), ClientRequest.split(FleetStory.CHAT, "left", FleetStory.EVENTS));
            story.fleet
                    .history()
                    .await(
                            "the request waits at a decode server",
                            Arrived.class,
                            a -> a.attemptId().equals(stream.id()) && !a.prefill());
            stream.abandon();
            awaitFreed(story, stream);
        });
    }

    @Test
    void theHandleOfARequestThatNoDecodeServerHasRoomForIsFreed() throws Exception {
        FleetStory.tell(1, 1, story -> {
            story.decode.forEach(d -> d.behaviour(Behaviour.FULL));
            ClientAttempt stream = story.fleet
                    .client()
                    .send(story.fleet.edge(0), ClientRequest.split(FleetStory.CHAT, "refused", FleetStory.EVENTS));
            assertEquals(503, Futures.await(stream.ended()).status());
            awaitFreed(story, stream);
        });
    }

    private static void awaitFreed(FleetStory story, ClientAttempt stream) throws Exception {
        HandleCreated made = story.fleet.history().await("a handle", HandleCreated.class, h -> h.attemptId()
                .equals(stream.id()));
        story.fleet.history().await(made.handle() + " is freed", HandleFreed.class, f -> f.handle()
                .equals(made.handle()));
    }

    @Test
    void anUnsafeRequestWhoseServerDiesRunsNoSecondTime() throws Exception {
        FleetStory.tell(1, 1, story -> {
            assertEquals(
                    502,
                    dies(story, ClientRequest.plain(FleetStory.WRITE, "once")).status());
            assertEquals(1, story.fleet.history().events(RunStarted.class).size());
        });
    }

    @Test
    void aSafeRequestWhoseServerDiesIsServedByAnother() throws Exception {
        FleetStory.tell(
                1,
                1,
                story -> assertTrue(dies(story, ClientRequest.plain(FleetStory.READ, "again"))
                        .served()));
    }

    /** The request's server dies while it works on it; the others answer. */
    private static ClientAttempt.Outcome dies(FleetStory story, ClientRequest request) throws Exception {
        story.plain.forEach(p -> p.behaviour(Behaviour.UNRESPONSIVE));
        ClientAttempt sent = story.fleet.client().send(story.fleet.edge(0), request);
        RunStarted ran = story.fleet.history().await("a run", RunStarted.class, r -> r.attemptId()
                .equals(sent.id()));
        story.plain.forEach(p -> p.behaviour(Behaviour.WORKS));
        story.plain.stream()
                .filter(p -> p.identity().equals(ran.server()))
                .findFirst()
                .orElseThrow()
                .crash();
        return Futures.await(sent.ended());
    }

    @Test
    void aServerThatHasTheAddressOfAnotherRunsNothingOfIt() throws Exception {
        FleetStory.tell(1, 1, story -> {
            PlainServer replaced = idlePlainServer(story);
            PlainServer other = story.fleet.reuseAddress(replaced, "other");
            for (int i = 0; i < REQUESTS; i++) {
                story.assertServed(0, ClientRequest.plain(i % 2 == 0 ? FleetStory.READ : FleetStory.WRITE, "r" + i));
            }
            assertEquals(REQUESTS, rejections(story, other).size(), "requests that reached the other server");
            assertTrue(story.fleet.history().events(RunStarted.class).stream()
                    .noneMatch(r -> r.server().equals(other.identity())));
        });
    }

    @Test
    void aFullServerIsPassedBy() throws Exception {
        FleetStory.tell(1, 1, story -> {
            PlainServer full = idlePlainServer(story);
            full.behaviour(Behaviour.FULL);
            for (int i = 0; i < REQUESTS; i++) {
                RouteSpec route = i % 2 == 0 ? FleetStory.READ : FleetStory.WRITE;
                story.assertServed(0, ClientRequest.plain(route, "full" + i));
            }
            for (RouteSpec route : List.of(FleetStory.READ, FleetStory.WRITE)) {
                story.fleet
                        .history()
                        .awaitState(
                                "a rejected request of " + route.name(),
                                () -> isServedAfterRejection(story, ClientRequest.plain(route, "rejected"), full));
            }
        });
    }

    /** The data plane doesn't send to a server for a while after it rejected a request. */
    private static boolean isServedAfterRejection(FleetStory story, ClientRequest request, PlainServer full) {
        ClientAttempt attempt = story.fleet.client().send(story.fleet.edge(0), request);
        ClientAttempt.Outcome outcome = Futures.await(attempt.ended());
        assertTrue(outcome.served(), outcome.toString());
        return rejections(story, full).stream().anyMatch(r -> r.attemptId().equals(attempt.id()));
    }

    @Test
    void aSilentServerIsLeftWhereTheRequestMayRunAgain() throws Exception {
        FleetStory.tell(1, 1, story -> {
            PlainServer silent = idlePlainServer(story);
            silent.behaviour(Behaviour.UNRESPONSIVE);
            for (int i = 0; i < 2; i++) {
                story.assertServed(0, ClientRequest.plain(FleetStory.READ, "silent" + i));
            }
            assertTrue(
                    story.fleet.history().events(RunStarted.class).stream()
                            .anyMatch(r -> r.server().equals(silent.identity())),
                    "no request reached the silent server");
        });
    }

    /**
     * Keeps a request in flight at one plain server. The other one, which is returned, certainly gets the next request:
     * of two servers a data plane picks the one with fewer requests in flight.
     */
    private static PlainServer idlePlainServer(FleetStory story) throws Exception {
        story.plain.forEach(p -> p.behaviour(Behaviour.UNRESPONSIVE));
        ClientAttempt pending =
                story.fleet.client().send(story.fleet.edge(0), ClientRequest.plain(FleetStory.WRITE, "pending"));
        RunStarted run = story.fleet.history().await("a run", RunStarted.class, r -> r.attemptId()
                .equals(pending.id()));
        story.plain.forEach(p -> p.behaviour(Behaviour.WORKS));
        return story.plain.stream()
                .filter(p -> !p.identity().equals(run.server()))
                .findFirst()
                .orElseThrow();
    }

    private static List<RunRejected> rejections(FleetStory story, PlainServer server) {
        return story.fleet.history().events(RunRejected.class).stream()
                .filter(r -> r.server().equals(server.identity()))
                .toList();
    }
}
