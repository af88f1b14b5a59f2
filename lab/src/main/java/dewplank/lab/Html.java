package dewplank.lab;

import java.util.Locale;

/** How texts and numbers stand in a report's HTML. */
final class Html {
    private Html() {}

    /** With the fewest decimals that tell runs apart; empty for NaN. */
    static String number(double value) {
        if (Double.isNaN(value)) {
            return "";
        }
        double magnitude = Math.abs(value);
        String format = magnitude >= 100 ? "%.0f" : magnitude >= 10 ? "%.1f" : "%.3f";
        return String.format(Locale.ROOT, format, value);
    }

    /** The same, with a plus where it is above 0. */
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
