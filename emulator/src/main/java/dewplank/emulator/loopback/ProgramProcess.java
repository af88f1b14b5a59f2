package dewplank.emulator.loopback;

import java.util.Optional;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A program as a process of its own, told what to do by a settings file alone, which a variable names. */
public final class ProgramProcess {
    private static final int EXIT_TIMEOUT_S = 10;

    private final String name;
    private final List<String> command;
    private final String variable;
    private final Path folder;
    private volatile Optional<Process> process = Optional.empty();

    public ProgramProcess(String name, List<String> command, String variable, Path folder) {
        this.name = name;
        this.command = List.copyOf(command);
        this.variable = variable;
        this.folder = folder;
    }

    /** Its log, over all its lives. */
    public Path log() {
        return folder.resolve(name + ".log");
    }

    /** Starts it; variables named in {@code removedVariables} are not handed on to it. */
    public void start(String settings, List<String> removedVariables) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
        builder.environment().keySet().removeAll(removedVariables);
        builder.environment().put(variable, file.toString());
        process = Optional.of(builder.start());
    }

    public boolean isAlive() {
        return process.filter(Process::isAlive).isPresent();
    }

    public void kill() {
        process.ifPresent(Process::destroyForcibly);
    }

    /** Sends a signal by its name, TERM say. */
    public void signal(String signal) throws IOException, InterruptedException {
        int exitStatus = new ProcessBuilder("kill", "-" + signal, Long.toString(process.orElseThrow().pid()))
                .start()
                .waitFor();
        if (exitStatus != 0) {
            throw new IOException("signal " + signal + " did not reach " + name);
        }
    }

    /** Waits until a process that was killed has ended. */
    public void awaitEnd() throws InterruptedException {
        if (!awaitEnd(EXIT_TIMEOUT_S)) {
            throw new IllegalStateException(name + " did not end when killed");
        }
    }

    /** Whether it ended within so many seconds. */
    public boolean awaitEnd(int seconds) throws InterruptedException {
        return process.isEmpty() || process.get().waitFor(seconds, TimeUnit.SECONDS);
    }
}
