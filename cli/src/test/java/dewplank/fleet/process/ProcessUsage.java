package dewplank.fleet.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * Memory and descriptors of a running process, from the kernel's accounts.
 *
 * @param peakMemoryBytes the most memory that was resident since the start ({@code VmHWM})
 * @param descriptors number of open file descriptors
 */
record ProcessUsage(long peakMemoryBytes, long descriptors) {
    private static final String PEAK_MEMORY = "VmHWM:";
    private static final long BYTES_PER_KIB = 1024;

    /** Reads the usage of the process; throws if it has ended. */
    static ProcessUsage of(long pid) throws IOException {
        Path process = Path.of("/proc", Long.toString(pid));
        try (Stream<Path> descriptors = Files.list(process.resolve("fd"))) {
            return new ProcessUsage(peakMemoryBytes(process), descriptors.count());
        }
    }

    private static long peakMemoryBytes(Path process) throws IOException {
        String line = Files.readAllLines(process.resolve("status")).stream()
                .filter(candidate -> candidate.startsWith(PEAK_MEMORY))
                .findFirst()
                .orElseThrow();
        String kib = line.substring(PEAK_MEMORY.length()).replace("kB", "").strip();
        return Long.parseLong(kib) * BYTES_PER_KIB;
    }
}
