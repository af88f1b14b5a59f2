package dewplank.balancer.adaptive;

import static dewplank.balancer.adaptive.BalancerFixture.firstSend;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.balancer.Action.Send;
import dewplank.balancer.Outcome;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The backoff of a server that rejects requests. */
class ServerBackoffTest {

    /**
     * Regression: a dozen requests rejected at the same time each multiplied the backoff by four. Idle servers were
     * not used for four seconds while requests were rejected.
     */
    @Test
    void simultaneousRejectionsStartOneBackoff() {
        BalancerFixture fixture = BalancerFixture.withServers(1);
        List<Send> sends = new ArrayList<>();
        for (int request = 0; request < 6; request++) {
            sends.add(firstSend(fixture.arrive("read")));
        }
        fixture.nowMs += 5;
        sends.forEach(send -> fixture.endAttempt(send, 0, Outcome.REJECTED, 5, false));
        fixture.nowMs += 65; // longer than the longest first backoff
        assertTrue(firstSend(fixture.arrive("read")) != null);
    }

    /** A hung server may reject every request immediately; its backoff grows until it receives almost none. */
    @Test
    void aServerThatOnlyRejectsIsRarelyPicked() {
        BalancerFixture fixture = BalancerFixture.withServers(4);
        int picked = 0;
        for (int request = 0; request < 1_000; request++) {
            Send send = firstSend(fixture.arrive("read"));
            fixture.nowMs += 20;
            boolean rejects = send.server().equals("s0");
            picked += rejects ? 1 : 0;
            Send retry =
                    firstSend(fixture.endAttempt(send, 0, rejects ? Outcome.REJECTED : Outcome.SERVED, 2, !rejects));
            if (retry != null) {
                fixture.endAttempt(retry, 1, Outcome.SERVED, 20, true);
            }
        }
        assertTrue(picked > 1 && picked < 30, picked + " of 1000");
    }
}
