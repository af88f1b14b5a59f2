package dewplank.lab;

import dewplank.emulator.scenario.Scenario;
import dewplank.lab.LossBreakdown.Cause;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The lost value by cause and request class, relative to the requested value. Confined to one thread. */
final class LossTable {
    private final Scenario scenario;
    private final Map<Cause, double[]> lostByClass = new EnumMap<>(Cause.class);
    private double requested;

    LossTable(Scenario scenario) {
        this.scenario = scenario;
    }

    void addRequested(double value) {
        requested += value;
    }

    void addLost(Cause cause, int requestClass, double value) {
        lostByClass.computeIfAbsent(cause, any -> new double[scenario.classes().size()])[requestClass] += value;
    }

    /**
     * The lost fraction of all requested value by cause, in the order of the causes; causes without a loss are omitted.
     */
    Map<Cause, Double> lostFractions() {
        Map<Cause, Double> fractions = new LinkedHashMap<>();
        lostByClass.forEach(
                (cause, lost) -> fractions.put(cause, Arrays.stream(lost).sum() / requested));
        return fractions;
    }

    /** A table for a terminal: causes by class, in percent of all requested value. */
    String text() {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT, "%-24s %8s", "lost, % of worth", "all"));
        scenario.classNames().forEach(name -> text.append(String.format(Locale.ROOT, " %10s", name)));
        text.append('\n');
        lostFractions().forEach((cause, fraction) -> {
            text.append(String.format(Locale.ROOT, "%-24s %8.2f", cause.printedName(), 100 * fraction));
            for (double lost : lostByClass.get(cause)) {
                text.append(String.format(Locale.ROOT, " %10.2f", 100 * lost / requested));
            }
            text.append('\n');
        });
        return text.toString();
    }
}
