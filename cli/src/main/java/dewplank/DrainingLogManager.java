package dewplank;

import java.util.logging.LogManager;

/** The log's manager, which keeps the log open while the sidecar drains. */
public final class DrainingLogManager extends LogManager {
    private static volatile boolean ending;

    /** From here on the log may close. */
    static void end() {
        ending = true;
        LogManager.getLogManager().reset();
    }

    /** Guards against the JVM closing the log as soon as SIGTERM comes: the draining is to be seen in it. */
    @Override
    public void reset() {
        if (ending) {
            super.reset();
        }
    }
}
