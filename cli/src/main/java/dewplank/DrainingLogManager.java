package dewplank;

import java.util.logging.LogManager;

/** A log manager that keeps the log open while a program drains. */
public final class DrainingLogManager extends LogManager {
    private static volatile boolean mayClose;

    /** Closes the log; called after the program has drained. */
    static void close() {
        mayClose = true;
        LogManager.getLogManager().reset();
    }

    /** Called by the JVM's own shutdown hook on SIGTERM; ignored before {@link #close} so that draining is logged. */
    @Override
    public void reset() {
        if (mayClose) {
            super.reset();
        }
    }
}
