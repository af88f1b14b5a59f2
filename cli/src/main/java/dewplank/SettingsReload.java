package dewplank;

import dewplank.settings.FileWatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Has a program read its settings again: on SIGHUP at once, else by the time of their file. */
final class SettingsReload {
    /**
     * The file is looked at so often. A change without a signal is then in force 1 to 2 s after the last write, for one
     * call to the system each; more often, a writer that pauses would be read halfway.
     */
    private static final long LOOK_MS = 1_000;

    private final Semaphore hangups = new Semaphore(0);
    private final boolean ignored;

    /** Takes the signal, which left alone ends a JVM: to be made before all else. */
    SettingsReload() {
        ignored = Signal.handle(new Signal("HUP"), signal -> hangups.release()) == SignalHandler.SIG_IGN;
    }

    /** Whether the program was started with the signal ignored, as by nohup, so that it never comes. */
    boolean signalIgnored() {
        return ignored;
    }

    /** Runs the reload whenever it is due; for good, as a program ends by its shutdown hook. */
    void run(FileWatch file, Runnable reload) throws InterruptedException {
        while (true) {
            if (hangups.tryAcquire(LOOK_MS, TimeUnit.MILLISECONDS)) {
                hangups.drainPermits(); // several in a row are one: the file is read after the last of them
                file.markRead();
                reload.run();
            } else if (file.pollChanged()) {
                reload.run();
            }
        }
    }

    /** What the log says where the signal is ignored. */
    static String warning() {
        return "SIGHUP does not reach this program: it was started with the signal ignored, as by nohup; a new "
                + "configuration is seen by its file's time";
    }
}
