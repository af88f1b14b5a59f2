package dewplank.lab;

import java.util.Locale;

/** Formats texts and numbers for the HTML of a report. */
final class Html {
    private Html() {}

    /** Formats a number with the fewest decimals that distinguish runs; empty for NaN. */
    static String number(double value) {
        if (Double.isNaN(value)) {
            return "";
        }
        double magnitude = Math.abs(value);
        String format = magnitude >= 100 ? "%.0f" : magnitude >= 10 ? "%.1f" : "%.3f";
        return String.format(Locale.ROOT, format, value);
    }

    /** The same as {@link #number}, with a plus sign for positive values. */
    static String signed(double value) {
        return (value > 0 ? "+" : "") + number(value);
    }

    static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
