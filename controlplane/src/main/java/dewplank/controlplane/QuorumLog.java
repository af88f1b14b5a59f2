package dewplank.controlplane;

import dewplank.net.Scheduler;
import dewplank.settings.ResultCode;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs when this control plane loses and regains its quorum, one line for each. The line for a loss contains the result
 * code that operators get until the quorum is regained. A loss is not logged if it is shorter than the time for which a
 * quorum that replied is assumed to be reachable. Must be used on the loop's thread only.
 */
final class QuorumLog {
    private static final Logger LOG = LoggerFactory.getLogger(QuorumLog.class);

    /** The change that {@link #check} detected. */
    enum Transition {
        NONE,
        LOST,
        REGAINED
    }

    private final Scheduler loop;
    private final BooleanSupplier quorate;
    private boolean wasQuorate;
    private double lastQuorateAtMs;

    /** @param quorate whether a quorum replied so recently that it is assumed to be reachable */
    QuorumLog(Scheduler loop, BooleanSupplier quorate) {
        this.loop = loop;
        this.quorate = quorate;
    }

    /** Logs a change and returns it. Called a few times per second. */
    Transition check() {
        boolean isQuorate = quorate.getAsBoolean();
        if (isQuorate == wasQuorate) {
            lastQuorateAtMs = isQuorate ? loop.now() : lastQuorateAtMs;
            return Transition.NONE;
        }
        boolean isFirst = lastQuorateAtMs == 0;
        double lostForMs = loop.now() - lastQuorateAtMs;
        wasQuorate = isQuorate;
        lastQuorateAtMs = isQuorate ? loop.now() : lastQuorateAtMs;
        return isQuorate ? logRegained(isFirst, lostForMs) : logLost();
    }

    private static Transition logLost() {
        LOG.warn("{}", ResultCode.NOT_CURRENT.line("quorum lost: changes and reads are answered elsewhere"));
        return Transition.LOST;
    }

    private static Transition logRegained(boolean isFirst, double lostForMs) {
        if (isFirst) {
            LOG.info("quorum reached");
        } else {
            LOG.info("quorum regained lostForMs={}", Math.round(lostForMs));
        }
        return Transition.REGAINED;
    }
}
