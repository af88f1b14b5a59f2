package dewplank.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ReceiveBudgetTest {
    private static final int MAX_BYTES = 1_000_000;
    private static final int RESERVE_BYTES = 100_000;
    private static final int SHORT_BYTES = ReceiveBudget.SHORT_MESSAGE_BYTES;

    private final ReceiveBudget budget = new ReceiveBudget(MAX_BYTES, RESERVE_BYTES);
    private final List<String> revoked = new ArrayList<>();

    private ReceiveBudget.Account account(String name) {
        return budget.open(() -> revoked.add(name));
    }

    @Test
    void theLargestMessageIsGivenUpWhenTheLimitIsExceeded() {
        ReceiveBudget.Account large = account("large");
        ReceiveBudget.Account middling = account("middling");
        assertTrue(large.hold(600_000));
        assertTrue(middling.hold(400_000));
        assertTrue(account("next").hold(100_000));
        assertEquals(List.of("large"), revoked);
        assertEquals(500_000, budget.totalBytes());
        assertEquals(1, budget.revocationCount());
    }

    @Test
    void theMessageThatGrowsIsRejectedIfItIsTheLargest() {
        assertTrue(account("other").hold(500_000));
        ReceiveBudget.Account growing = account("growing");
        assertTrue(growing.hold(400_000));
        assertFalse(growing.hold(600_000));
        growing.release();
        assertEquals(500_000, budget.totalBytes());
        assertEquals(List.of(), revoked);
    }

    @Test
    void messagesInUseAreNotGivenUpButCount() {
        ReceiveBudget.Account used = account("used");
        assertTrue(used.hold(900_000));
        used.markInUse();
        assertFalse(account("long").hold(200_000));
        assertEquals(List.of(), revoked);
    }

    @Test
    void shortMessagesHaveAReserve() {
        ReceiveBudget.Account used = account("used");
        assertTrue(used.hold(MAX_BYTES));
        used.markInUse();
        int accepted = 0;
        while (account("short").hold(SHORT_BYTES)) {
            accepted++;
        }
        assertEquals(RESERVE_BYTES / SHORT_BYTES, accepted);
    }

    @Test
    void releasedBytesCanBeUsedAgain() {
        ReceiveBudget.Account account = account("a");
        for (int message = 0; message < 5; message++) {
            assertTrue(account.hold(MAX_BYTES));
            account.markInUse();
            account.release();
            assertEquals(0, budget.totalBytes());
        }
    }
}
