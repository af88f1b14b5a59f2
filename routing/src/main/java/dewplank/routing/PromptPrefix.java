package dewplank.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * The parts of a prompt in order, as {@code X-Dewplank-Prompt-Prefix} names them. The last one belongs to the request
 * itself; those before it are shared.
 */
public record PromptPrefix(List<Segment> segments) {
    /** A part and its length in tokens. */
    public record Segment(String id, long tokens) {}

    private static final int MOST_PARTS = 64; // a longer chain is cut: what follows hardly changes the choice

    public static PromptPrefix parse(String header) {
        List<Segment> parts = new ArrayList<>();
        if (header != null) {
            for (String text : header.split(",", MOST_PARTS + 1)) {
                int colon = text.indexOf(':');
                if (colon < 0 || parts.size() == MOST_PARTS) {
                    break;
                }
                parts.add(new Segment(
                        text.substring(0, colon).strip(),
                        tokens(text.substring(colon + 1).strip())));
            }
        }
        return new PromptPrefix(List.copyOf(parts));
    }

    private static long tokens(String text) {
        try {
            return Math.max(0, Long.parseLong(text));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** All tokens of the prompt. */
    public long tokens() {
        return segments.stream().mapToLong(Segment::tokens).sum();
    }

    /** Tokens of the parts that are shared with other requests. */
    public long sharedTokens() {
        return segments.isEmpty()
                ? 0
                : tokens() - segments.get(segments.size() - 1).tokens();
    }

    /** The last shared part, which stands for all before it too; null if nothing is shared. */
    public String affinityKey() {
        return segments.size() < 2 ? null : segments.get(segments.size() - 2).id();
    }
}
