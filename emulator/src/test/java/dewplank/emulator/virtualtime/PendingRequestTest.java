package dewplank.emulator.virtualtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.ClientAttempt;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the state transitions of a request at a sidecar and of its attempts, without servers. */
class PendingRequestTest {
    private static final int SERVER_INCARNATION = 3;

    private final ClientAttempt client = new ClientAttempt(1, 0, 1, 100, 0, false, 0, 60_000, null);
    private final PendingRequest request = new PendingRequest(client);

    private Attempt attempt() {
        return request.addAttempt(null, 0);
    }

    @Test
    void isDoneOnceItIsFinishedAndNoAttemptIsInFlight() {
        Attempt attempt = attempt();
        request.finish();
        assertFalse(request.isOpen());
        assertFalse(request.isDone());
        attempt.end();
        request.onAttemptEnded();
        assertTrue(request.isDone());
    }

    @Test
    void isNotDoneWhileItsClientIsWaiting() {
        attempt().end();
        request.onAttemptEnded();
        assertTrue(request.isOpen());
        assertFalse(request.isDone());
    }

    @Test
    void cannotBeFinishedTwice() {
        request.finish();
        assertThrows(IllegalStateException.class, request::finish);
    }

    @Test
    void anAttemptThatWasNeverSentUsesAnIndexButIsNotStored() {
        request.skipAttempt();
        Attempt sent = attempt();
        assertEquals(1, sent.index);
        assertEquals(Optional.empty(), request.attempt(0));
        assertEquals(Optional.of(sent), request.attempt(1));
        assertEquals(List.of(sent), request.inFlight());
        assertEquals(2, request.attemptCount());
        assertEquals(1, request.inFlightCount());
    }

    @Test
    void endingAnAttemptReturnsItsPreviousState() {
        Attempt connected = attempt();
        assertTrue(connected.isConnecting());
        connected.connect(SERVER_INCARNATION);
        assertFalse(connected.isConnecting());
        assertEquals(new Attempt.Connected(SERVER_INCARNATION), connected.end());
        assertTrue(connected.hasEnded());
        assertEquals(new Attempt.Connecting(), attempt().end());
    }

    @Test
    void anAttemptConnectsOnceAndEndsOnce() {
        Attempt attempt = attempt();
        attempt.connect(SERVER_INCARNATION);
        assertThrows(IllegalStateException.class, () -> attempt.connect(SERVER_INCARNATION));
        attempt.end();
        assertThrows(IllegalStateException.class, () -> attempt.connect(SERVER_INCARNATION));
        assertThrows(IllegalStateException.class, attempt::end);
    }

    @Test
    void aTableRemovesARequestThatIsDone() {
        RequestTable table = new RequestTable();
        table.add(client);
        PendingRequest added = table.findOpen(client.id()).orElseThrow();
        Attempt attempt = added.addAttempt(null, 0);
        table.finish(added);
        assertEquals(Optional.empty(), table.findOpen(client.id()));
        assertEquals(Optional.of(added), table.find(client.id()));
        assertEquals(1, table.attemptsInFlight());
        attempt.end();
        added.onAttemptEnded();
        table.removeIfDone(added);
        assertEquals(Optional.empty(), table.find(client.id()));
    }
}
