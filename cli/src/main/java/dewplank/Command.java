package dewplank;

import java.io.IOException;

/** A command of the command line. args4j sets its options before it runs on the main thread. */
interface Command {
    /**
     * Runs the command until it completes.
     *
     * @throws IOException if a file, disk or connection failed; the message is printed for the operator
     * @throws InterruptedException if the main thread was interrupted
     */
    void run() throws IOException, InterruptedException;
}
