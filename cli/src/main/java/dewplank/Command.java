package dewplank;

import java.io.IOException;

/** A command of the command line, whose options args4j has filled in. Runs on the main thread. */
interface Command {
    /**
     * Runs the command to its end.
     *
     * @throws IOException if a file, disk or connection failed; the message is for the operator
     * @throws InterruptedException if the main thread was interrupted
     */
    void run() throws IOException, InterruptedException;
}
