package dewplank.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.net.ReceiveBudget.Origin;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ReceiveBudgetTest {
    private static final int MAX_LONG_BYTES = 900_000;
    private static final int MAX_CLIENT_BYTES = 1_000_000;
    private static final int MAX_FLEET_BYTES = 1_100_000;
    private static final int MAX_TOTAL_BYTES = 1_500_000;
    private static final int SHORT_BYTES = ReceiveBudget.SHORT_MESSAGE_BYTES;

    private final ReceiveBudget budget = new ReceiveBudget(
            new ReceiveBudget.Limits(MAX_LONG_BYTES, MAX_CLIENT_BYTES, MAX_FLEET_BYTES, MAX_TOTAL_BYTES));
    private final List<String> revoked = new ArrayList<>();

    private ReceiveBudget.Account client(String name) {
        return budget.open(Origin.CLIENT, () -> revoked.add(name));
    }

    private ReceiveBudget.Account server(String name) {
        return budget.open(Origin.FLEET, () -> revoked.add(name));
    }

    @Test
    void theMessageThatWaitsLongestIsGivenUpWhenTheLimitIsExceeded() {
        ReceiveBudget.Account first = client("first");
        ReceiveBudget.Account second = client("second");
        assertTrue(first.hold(300_000));
        assertTrue(second.hold(500_000));
        assertTrue(first.hold(350_000));
        assertTrue(client("next").hold(400_000));
        assertEquals(List.of("second"), revoked);
        assertEquals(750_000, budget.totalBytes());
        assertEquals(1, budget.revocationCount());
    }

    /** Bytes that add nothing to the memory, such as those of a chunk's extension, count as progress as well. */
    @Test
    void aMessageThatReceivesBytesIsNotTheOneThatWaitsLongest() {
        ReceiveBudget.Account first = client("first");
        assertTrue(first.hold(400_000));
        assertTrue(client("second").hold(400_000));
        assertTrue(first.hold(400_000));
        assertTrue(client("next").hold(400_000));
        assertEquals(List.of("second"), revoked);
    }

    /** A client that sends its message makes progress beside any number of messages that stop short. */
    @Test
    void shortMessagesThatStopMakeRoomForALongOneThatArrives() {
        int crowd = 2 * MAX_CLIENT_BYTES / SHORT_BYTES;
        for (int i = 0; i < crowd; i++) {
            assertTrue(client("crowd").hold(SHORT_BYTES));
        }
        assertTrue(budget.totalBytes() <= MAX_CLIENT_BYTES);
        ReceiveBudget.Account arriving = client("arriving");
        for (int bytes = 100_000; bytes <= 800_000; bytes += 100_000) {
            assertTrue(arriving.hold(bytes));
        }
        assertTrue(arriving.holdInUse(800_000));
        assertFalse(revoked.contains("arriving"));
        assertTrue(budget.totalBytes() <= MAX_CLIENT_BYTES);
    }

    @Test
    void messagesInUseAreNotGivenUpButCount() {
        assertTrue(client("used").holdInUse(800_000));
        ReceiveBudget.Account rejected = client("long");
        assertFalse(rejected.hold(200_000));
        rejected.release();
        assertEquals(List.of(), revoked);
        assertEquals(800_000, budget.totalBytes());
    }

    @Test
    void aCompleteMessageThatDoesNotFitBesideThoseInUseIsRejected() {
        int accepted = 0;
        ReceiveBudget.Account next = client("0");
        while (next.holdInUse(SHORT_BYTES)) {
            accepted++;
            next = client(Integer.toString(accepted));
        }
        next.release();
        assertEquals(MAX_CLIENT_BYTES / SHORT_BYTES, accepted);
        assertEquals((long) accepted * SHORT_BYTES, budget.totalBytes());
        assertEquals(List.of(), revoked);
    }

    @Test
    void aCompleteMessageMakesIncompleteOnesYield() {
        assertTrue(client("incomplete").hold(700_000));
        assertTrue(client("complete").holdInUse(400_000));
        assertEquals(List.of("incomplete"), revoked);
    }

    @Test
    void longMessagesLeaveRoomForShortOnes() {
        assertTrue(client("used").holdInUse(450_000));
        assertTrue(client("used").holdInUse(450_000));
        ReceiveBudget.Account rejected = client("long");
        assertFalse(rejected.hold(SHORT_BYTES + 1));
        rejected.release();
        int accepted = 0;
        while (client("short").holdInUse(SHORT_BYTES)) {
            accepted++;
        }
        assertEquals((MAX_CLIENT_BYTES - MAX_LONG_BYTES) / SHORT_BYTES, accepted);
    }

    @Test
    void aSingleMessageMayExceedTheLimitOfLongOnes() {
        assertTrue(client("incomplete").hold(500_000));
        assertTrue(client("single").hold(MAX_CLIENT_BYTES));
        assertEquals(List.of("incomplete"), revoked);
        ReceiveBudget.Account longer = client("longer");
        assertFalse(longer.hold(MAX_CLIENT_BYTES + 1));
    }

    @Test
    void clientsDoNotMakeTheFleetYield() {
        assertTrue(server("server").hold(MAX_FLEET_BYTES));
        assertTrue(client("crowd").hold(300_000));
        assertTrue(client("client").hold(400_000));
        assertEquals(List.of("crowd"), revoked);
        ReceiveBudget.Account rejected = client("rejected");
        assertFalse(rejected.hold(MAX_TOTAL_BYTES - MAX_FLEET_BYTES + 1));
    }

    @Test
    void theFleetMakesClientsYield() {
        assertTrue(client("client").hold(900_000));
        assertTrue(server("server").hold(600_000));
        assertEquals(List.of(), revoked);
        assertTrue(server("next").hold(100_000));
        assertEquals(List.of("client"), revoked);
        assertTrue(server("longer").hold(900_000));
        assertEquals(List.of("client", "server"), revoked);
    }

    @Test
    void requestsInUseLeaveRoomForTheFleet() {
        assertTrue(client("used").holdInUse(MAX_CLIENT_BYTES));
        assertTrue(server("server").hold(MAX_TOTAL_BYTES - MAX_CLIENT_BYTES));
        ReceiveBudget.Account rejected = server("rejected");
        assertFalse(rejected.hold(MAX_TOTAL_BYTES - MAX_CLIENT_BYTES + 1));
    }

    @Test
    void releasedBytesCanBeUsedAgain() {
        ReceiveBudget.Account account = client("a");
        for (int message = 0; message < 5; message++) {
            assertTrue(account.hold(MAX_CLIENT_BYTES));
            assertTrue(account.holdInUse(MAX_CLIENT_BYTES));
            account.release();
            assertEquals(0, budget.totalBytes());
        }
    }
}
