package dewplank.fleet;

import dewplank.emulator.fleet.StandInFleet;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Commands that start the two programs with the JVM flags of {@code deploy/system.toml}, from the class path of the
 * tests and without the class archive of the build.
 */
public final class Programs {
    private static final Pattern RUN_LINE =
            Pattern.compile("(?m)^run = \"java (.*) -jar target/dewplank\\.jar (.*)\"$");
    private static final String ARCHIVE_OPTION = "-XX:SharedArchiveFile=";

    private Programs() {}

    /** Returns the commands with further JVM options, which replace deployed ones of the same name. */
    public static StandInFleet.Commands commands(String... options) {
        return new StandInFleet.Commands(command("control-plane", options), command("data-plane", options));
    }

    /** Returns the command line of a program, by its verb; of two options of the same name the later one applies. */
    public static List<String> command(String program, String... options) {
        List<String> command = new ArrayList<>(java(program));
        command.addAll(List.of(options));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "dewplank.Main", program));
        return command;
    }

    /** Returns the path and the options of the JVM, without a class path. */
    static List<String> java() {
        return java("data-plane");
    }

    private static List<String> java(String program) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(deployedOptions(program));
        return command;
    }

    private static List<String> deployedOptions(String program) {
        Matcher line = RUN_LINE.matcher(deployFile());
        while (line.find()) {
            if (line.group(2).equals(program)) {
                return Arrays.stream(line.group(1).split(" "))
                        .filter(option -> !option.startsWith(ARCHIVE_OPTION))
                        .toList();
            }
        }
        throw new AssertionError("deploy/system.toml runs no " + program);
    }

    /** Reads the deploy file of the repository, of which the tests run in the folder of a module. */
    private static String deployFile() {
        try {
            return Files.readString(Path.of("..", "deploy", "system.toml"));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
