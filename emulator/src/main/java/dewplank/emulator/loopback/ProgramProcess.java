package dewplank.emulator.loopback;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Runs a program as a process. An environment variable contains the path of its settings file. */
public final class ProgramProcess {
    private static final int EXIT_TIMEOUT_S = 10;

    private final String name;
    private final List<String> command;
    private final String variable;
    private final Path folder;
    private volatile Optional<Process> process = Optional.empty();

    /** {@code variable} is the variable with the settings file's path; {@code folder} is for settings and log. */
    public ProgramProcess(String name, List<String> command, String variable, Path folder) {
        this.name = name;
        this.command = List.copyOf(command);
        this.variable = variable;
        this.folder = folder;
    }

    /** The file with the output of all incarnations of the process. */
    public Path log() {
        return folder.resolve(name + ".log");
    }

    /** Writes the settings file and starts the process without the given environment variables. */
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

    /** The process id of the latest start. */
    public long pid() {
        return process.orElseThrow().pid();
    }

    /** Whether the process was started and has not exited. */
    public boolean isAlive() {
        return process.filter(Process::isAlive).isPresent();
    }

    /** Sends SIGKILL; does nothing if the process was not started. */
    public void kill() {
        process.ifPresent(Process::destroyForcibly);
    }

    /** Sends the signal with the given name, such as TERM. */
    public void signal(String signal) throws IOException, InterruptedException {
        int exitStatus = new ProcessBuilder("kill", "-" + signal, Long.toString(pid()))
                .start()
                .waitFor();
        if (exitStatus != 0) {
            throw new IOException("could not send signal " + signal + " to " + name);
        }
    }

    /** Waits until a killed process has exited; throws if it does not exit in time. */
    public void awaitEnd() throws InterruptedException {
        if (!awaitEnd(EXIT_TIMEOUT_S)) {
            throw new IllegalStateException(name + " did not exit after SIGKILL");
        }
    }

    /** Waits until the process exits; returns false if it is still running after the given seconds. */
    public boolean awaitEnd(int seconds) throws InterruptedException {
        return process.isEmpty() || process.get().waitFor(seconds, TimeUnit.SECONDS);
    }
}
