package dewplank.lab.load;

import dewplank.settings.InvalidInputException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Recorded starts, distributed over the parts in turn. */
public final class TraceSchedule implements Schedule {
    private final double[] startsMs; // ascending

    private TraceSchedule(double[] startsMs) {
        this.startsMs = startsMs;
    }

    /**
     * Reads start times in milliseconds, one per line, in any order. Further comma-separated values on a line, blank
     * lines and lines that start with {@code #} are ignored.
     *
     * @throws InvalidInputException if the file cannot be read or a line does not start with a number
     */
    public static TraceSchedule read(Path file) {
        List<Double> starts = new ArrayList<>();
        int lineNumber = 0;
        try {
            for (String line : Files.readAllLines(file)) {
                lineNumber++;
                if (!line.isBlank() && !line.startsWith("#")) {
                    starts.add(Double.parseDouble(line.split(",")[0].strip()));
                }
            }
        } catch (IOException e) {
            throw new InvalidInputException(file + ": cannot be read: " + e.getMessage());
        } catch (NumberFormatException e) {
            throw new InvalidInputException(file + ":" + lineNumber + ": expected a time in milliseconds first");
        }
        return new TraceSchedule(
                starts.stream().mapToDouble(start -> start).sorted().toArray());
    }

    @Override
    public Arrivals arrivals(int part, int parts, long seed) {
        return new Arrivals() {
            private int next = part;

            @Override
            public double nextMs() {
                int current = next;
                next += parts;
                return current < startsMs.length ? startsMs[current] : END;
            }
        };
    }
}
