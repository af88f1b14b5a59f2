package dewplank.fleet.soak;

import dewplank.fleet.soak.ProcessStep.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The steps of a soak, generated from a seed before the start: one sequence for each process and one for the operator.
 * All sequences run concurrently. Immutable.
 */
record SoakPlan(long seed, List<List<ProcessStep>> control, List<List<ProcessStep>> data, List<ChangeStep> changes) {
    private static final double MAX_PAUSE_MS = 4_000;
    private static final double MAX_CHANGE_PAUSE_MS = 1_200;
    private static final int ROUTES = 6;

    /**
     * Generates a plan in which no series starts after {@code durationMs}.
     *
     * @param hostile whether the plan has bytes that are no messages, and starts before the settings are complete;
     *     without them, a seed gives the same plan as before these steps existed
     */
    static SoakPlan generate(long seed, double durationMs, int controlMachines, int dataMachines, boolean hostile) {
        Random random = new Random(seed);
        return new SoakPlan(
                seed,
                stepsByProcess(random, durationMs, controlMachines, hostile),
                stepsByProcess(random, durationMs, dataMachines, hostile),
                changes(random, durationMs, controlMachines));
    }

    private static List<List<ProcessStep>> stepsByProcess(
            Random random, double durationMs, int machines, boolean hostile) {
        List<List<ProcessStep>> stepsByProcess = new ArrayList<>();
        for (int i = 0; i < machines; i++) {
            stepsByProcess.add(new ProcessStepGenerator(random, hostile).generate(durationMs));
        }
        return stepsByProcess;
    }

    private static List<ChangeStep> changes(Random random, double durationMs, int controlMachines) {
        List<ChangeStep> steps = new ArrayList<>();
        ChangeStep.Kind[] kinds = ChangeStep.Kind.values();
        double atMs = random.nextDouble(MAX_CHANGE_PAUSE_MS);
        while (atMs < durationMs) {
            ChangeStep.Kind kind = kinds[random.nextInt(kinds.length)];
            steps.add(new ChangeStep(atMs, kind, random.nextInt(ROUTES), random.nextInt(controlMachines)));
            atMs += random.nextDouble(MAX_CHANGE_PAUSE_MS);
        }
        return steps;
    }

    /**
     * Generates the steps of one process. Half of the processes only have planned maintenance: SIGTERM and SIGHUP,
     * and bytes that are no messages.
     */
    private static final class ProcessStepGenerator {
        /** The planned time from SIGTERM to the exit of a process; a data plane accepts connections for 2.6 s of it. */
        private static final double TERMINATION_MS = 3_000;

        private static final double MAX_DOWN_MS = 1_500;
        private static final double MAX_FROZEN_MS = 2_500;
        private static final double MAX_GAP_MS = 800;
        private static final int MAX_RESTARTS = 3;
        private static final int MAX_ATTACKS = 3;
        /** One of so many starts comes before the settings file is complete. */
        private static final int EARLY_STARTS_DIVISOR = 4;

        /** Steps that follow each other with only short pauses between them. */
        private enum Series {
            RESTART,
            RELOAD_AND_RESTART,
            RESTARTS,
            RELOADS,
            KILL_AND_START,
            FREEZE_AND_THAW,
            HOSTILE_BYTES
        }

        private static final List<Series> PLANNED_MAINTENANCE =
                List.of(Series.RESTART, Series.RELOAD_AND_RESTART, Series.RESTARTS, Series.RELOADS);
        private static final List<Series> ALL_FAULTS = List.of(
                Series.RESTART,
                Series.RELOAD_AND_RESTART,
                Series.RESTARTS,
                Series.RELOADS,
                Series.KILL_AND_START,
                Series.FREEZE_AND_THAW);

        private final Random random;
        private final List<ProcessStep> steps = new ArrayList<>();
        private final List<Series> availableSeries;
        private final boolean hostile;
        private double atMs;

        ProcessStepGenerator(Random random, boolean hostile) {
            this.random = random;
            this.hostile = hostile;
            this.availableSeries = new ArrayList<>(random.nextBoolean() ? PLANNED_MAINTENANCE : ALL_FAULTS);
            if (hostile) {
                availableSeries.add(Series.HOSTILE_BYTES);
            }
        }

        List<ProcessStep> generate(double durationMs) {
            advance(MAX_PAUSE_MS);
            while (atMs < durationMs) {
                addSeries();
                advance(MAX_PAUSE_MS);
            }
            return List.copyOf(steps);
        }

        private void addSeries() {
            switch (availableSeries.get(random.nextInt(availableSeries.size()))) {
                case RESTART -> restart();
                case RELOAD_AND_RESTART -> {
                    reload();
                    advance(MAX_GAP_MS);
                    restart();
                }
                case RESTARTS -> {
                    int restarts = 1 + random.nextInt(MAX_RESTARTS);
                    for (int i = 0; i < restarts; i++) {
                        restart();
                        advance(MAX_GAP_MS);
                    }
                }
                case RELOADS -> {
                    reload();
                    advance(MAX_GAP_MS);
                    reload();
                }
                case HOSTILE_BYTES -> {
                    int attacks = 1 + random.nextInt(MAX_ATTACKS);
                    for (int i = 0; i < attacks; i++) {
                        add(Kind.HOSTILE_BYTES);
                        advance(MAX_GAP_MS);
                    }
                }
                case KILL_AND_START -> {
                    add(Kind.KILL);
                    advance(MAX_DOWN_MS);
                    start();
                }
                case FREEZE_AND_THAW -> {
                    add(Kind.FREEZE);
                    advance(MAX_FROZEN_MS);
                    add(Kind.THAW);
                }
            }
        }

        private void restart() {
            add(Kind.TERMINATE);
            atMs += TERMINATION_MS;
            advance(MAX_DOWN_MS);
            start();
        }

        private void start() {
            boolean early = hostile && random.nextInt(EARLY_STARTS_DIVISOR) == 0;
            add(early ? Kind.START_BEFORE_SETTINGS : Kind.START);
        }

        private void reload() {
            add(random.nextBoolean() ? Kind.RELOAD : Kind.RELOAD_UNREADABLE);
        }

        private void add(Kind kind) {
            steps.add(new ProcessStep(atMs, kind));
        }

        private void advance(double maxMs) {
            atMs += random.nextDouble(maxMs);
        }
    }

    /** Returns the plan as text, with one line for each process and one for the operator. */
    String text() {
        StringBuilder text = new StringBuilder("soak seed=" + seed + "\n");
        append(text, "core-", control);
        append(text, "edge-", data);
        return text.append("operator: ").append(changes).append("\n").toString();
    }

    private static void append(StringBuilder text, String name, List<List<ProcessStep>> stepsByProcess) {
        for (int i = 0; i < stepsByProcess.size(); i++) {
            text.append(name)
                    .append(i)
                    .append(": ")
                    .append(stepsByProcess.get(i))
                    .append("\n");
        }
    }
}
