package dewplank;

import dewplank.settings.FileWatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Reloads a program's settings on the main thread: immediately on SIGHUP, or after its file has changed. */
final class SettingsReloader {
    /**
     * The interval between polls of the file, each of which is one system call. A change without a signal takes effect
     * 1 to 2 s after the last write; with a shorter interval an incomplete file could be read while its writer pauses.
     */
    private static final long FILE_POLL_INTERVAL_MS = 1_000;

    private final Semaphore hangups = new Semaphore(0);
    private final boolean ignored;

    /** Installs a handler for SIGHUP. A program does this first at its start, as SIGHUP terminates a JVM by default. */
    SettingsReloader() {
        ignored = Signal.handle(new Signal("HUP"), signal -> hangups.release()) == SignalHandler.SIG_IGN;
    }

    /** Whether the program was started with SIGHUP ignored, as by nohup; it then never receives the signal. */
    boolean isSignalIgnored() {
        return ignored;
    }

    /** Runs the reload whenever it is due. Never returns, since a program terminates through its shutdown hook. */
    void run(FileWatch file, Runnable reload) throws InterruptedException {
        while (true) {
            if (hangups.tryAcquire(FILE_POLL_INTERVAL_MS, TimeUnit.MILLISECONDS)) {
                hangups.drainPermits(); // several pending signals cause one reload
                file.markRead();
                reload.run();
            } else if (file.pollChanged()) {
                reload.run();
            }
        }
    }

    /** Returns the log message for a program that ignores the signal. */
    static String warning() {
        return "SIGHUP does not reach this program: it was started with the signal ignored, as by nohup; a new "
                + "configuration is seen by its file's time";
    }
}
