package dewplank.emulator.loopback;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** A program that runs as a process. It finds its settings file by an environment variable. */
public final class ProgramProcess {
    private static final int EXIT_TIMEOUT_S = 10;

    private final String name;
    private final List<String> command;
    private final String variable;
    private final Path folder;
    private volatile Optional<Process> process = Optional.empty();

    /** {@code variable}: names the settings file to the program; {@code folder}: for settings and log. */
    public ProgramProcess(String name, List<String> command, String variable, Path folder) {
        this.name = name;
        this.command = List.copyOf(command);
        this.variable = variable;
        this.folder = folder;
    }

    /** The file with the output of all its incarnations. */
    public Path log() {
        return folder.resolve(name + ".log");
    }

    /** Writes the settings file and starts the process, without the environment variables named. */
    public void start(String settings, List<String> removedVariables) throws IOException {
        Path file = writeSettings(settings);
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        builder.environment().keySet().removeAll(removedVariables);
        builder.environment().put(variable, file.toString());
        process = Optional.of(builder.start());
    }

    /** Writes the settings file, which the process reads at its next start or SIGHUP. */
    public Path writeSettings(String settings) throws IOException {
        return Files.writeString(folder.resolve(name + ".json"), settings);
    }

    /** Whether the process was started and has not ended. */
    public boolean isAlive() {
        return process.filter(Process::isAlive).isPresent();
    }

    /** Sends SIGKILL; nothing where the process was not started. */
    public void kill() {
        process.ifPresent(Process::destroyForcibly);
    }

    /** Sends a signal by its name, such as TERM. */
    public void signal(String signal) throws IOException, InterruptedException {
        int exitStatus = new ProcessBuilder(
                        "kill",
                        "-" + signal,
                        Long.toString(process.orElseThrow().pid()))
                .start()
                .waitFor();
        if (exitStatus != 0) {
            throw new IOException("signal " + signal + " did not reach " + name);
        }
    }

    /** Waits for the end of a process that was killed; throws where it does not come. */
    public void awaitEnd() throws InterruptedException {
        if (!awaitEnd(EXIT_TIMEOUT_S)) {
            throw new IllegalStateException(name + " did not end when killed");
        }
    }

    /** Waits for the end; whether it came within so many seconds, or the process never ran. */
    public boolean awaitEnd(int seconds) throws InterruptedException {
        return process.isEmpty() || process.get().waitFor(seconds, TimeUnit.SECONDS);
    }
}
