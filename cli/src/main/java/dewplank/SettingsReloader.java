package dewplank;

import dewplank.settings.FileWatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Makes a program reload its settings: on SIGHUP at once, else when its file has changed. On the main thread. */
final class SettingsReloader {
    /**
     * How often the file is polled, by one system call. A change without a signal is in force 1 to 2 s after the last
     * write; polled more often, a file whose writer pauses would be read halfway.
     */
    private static final long FILE_POLL_INTERVAL_MS = 1_000;

    private final Semaphore hangups = new Semaphore(0);
    private final boolean ignored;

    /** Handles SIGHUP, which ends a JVM by default: create it first. */
    SettingsReloader() {
        ignored = Signal.handle(new Signal("HUP"), signal -> hangups.release()) == SignalHandler.SIG_IGN;
    }

    /** Whether the program was started with the signal ignored, as by nohup, so that it never comes. */
    boolean isSignalIgnored() {
        return ignored;
    }

    /** Runs the reload whenever it is due; never returns, as a program ends by its shutdown hook. */
    void run(FileWatch file, Runnable reload) throws InterruptedException {
        while (true) {
            if (hangups.tryAcquire(FILE_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS)) {
                hangups.drainPermits(); // several signals are one reload, after the last of them
                file.markRead();
                reload.run();
            } else if (file.pollChanged()) {
                reload.run();
            }
        }
    }

    /** The log line where the signal is ignored. */
    static String warning() {
        return "SIGHUP does not reach this program: it was started with the signal ignored, as by nohup; a new "
                + "configuration is seen by its file's time";
    }
}
