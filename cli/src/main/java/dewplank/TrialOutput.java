package dewplank;

import dewplank.lab.ServiceMetrics;
import dewplank.lab.Trial;
import dewplank.lab.audit.Violation;
import java.util.Locale;

/** Prints the result of a simulation: the service to clients and the violations that the auditor found. */
final class TrialOutput {
    private TrialOutput() {}

    static void print(Trial trial) {
        print(trial.service());
        System.out.println("auditor: " + trial.auditor().verdict()
                + (trial.isInvalid() ? " (unsound: the emulator ran late)" : ""));
        trial.auditor().retainedViolations().stream().limit(3).forEach(TrialOutput::print);
    }

    static void print(Violation violation) {
        System.out.printf(
                Locale.ROOT,
                "%s at %.0f ms, request %d: %s%n%s%n",
                violation.rule().printedName(),
                violation.atMs(),
                violation.request(),
                violation.description(),
                violation.timelineText());
    }

    static void print(ServiceMetrics service) {
        System.out.printf(
                Locale.ROOT,
                "service %.3f, worst class %.3f, worst tenant %.3f, worst 10 s %.3f, refused %.3f, "
                        + "failed %.3f, tries %.2f%n",
                service.valueRatio(),
                service.worstClass(),
                service.worstTenant(),
                service.worstWindow(),
                service.refusedRatio(),
                service.failedRatio(),
                service.attemptsPerRequest());
        service.classes()
                .forEach(c -> System.out.printf(
                        Locale.ROOT,
                        "  %-14s %6d asked, in aim %.3f, p50 %.0f ms, p99 %.0f ms%n",
                        c.name(),
                        c.latencyUs().getTotalCount(),
                        c.withinTargetRatio(),
                        c.latencyUs().getValueAtPercentile(50) / 1000.0,
                        c.latencyUs().getValueAtPercentile(99) / 1000.0));
        StringBuilder line = new StringBuilder("  by second:");
        service.seconds()
                .forEach(second -> line.append(
                        second.isEmpty()
                                ? " -"
                                : String.format(
                                        Locale.ROOT, " %.0f", 100 * second.withinTarget() / second.requested())));
        System.out.println(line);
    }
}
