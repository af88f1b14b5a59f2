package dewplank.fleet;

import dewplank.emulator.fleet.StandInFleet;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Commands that start the two programs from the class path of the tests, as in production but without the archive. */
final class Programs {
    private static final List<String> OPTIONS = List.of(
            "-Djava.net.preferIPv4Stack=true",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xms24m",
            "-Xmx96m",
            "-Xss512k",
            "-XX:MaxDirectMemorySize=24m",
            "-XX:ReservedCodeCacheSize=24m",
            "-XX:-UsePerfData",
            "-XX:+ExitOnOutOfMemoryError");

    private Programs() {}

    static StandInFleet.Commands commands() {
        return new StandInFleet.Commands(command("control-plane"), command("data-plane"));
    }

    private static List<String> command(String program) {
        List<String> command = new ArrayList<>(java());
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "dewplank.Main", program));
        return command;
    }

    /** Returns the path and the options of the JVM, without a class path. */
    static List<String> java() {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(OPTIONS);
        return command;
    }
}
