package dewplank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The segments of a prompt in order, as the header {@code X-Dewplank-Prompt-Prefix} names them. The last one belongs to
 * the request itself; those before it are shared with other requests. Immutable.
 *
 * @param segments none where the request has no such header
 */
public record PromptPrefix(List<Segment> segments) {
    /** A longer chain is cut: what follows hardly changes the pick. */
    private static final int MAX_SEGMENTS = 64;

    /**
     * A segment of a prompt.
     *
     * @param id the same wherever the text and all before it are the same
     * @param tokens its length, 0 where it can't be read
     */
    public record Segment(String id, long tokens) {}

    /**
     * Reads a header such as {@code 5c1e07a2:800,91bd3f06:410}; never fails. A segment without a colon ends the chain.
     *
     * @param header its value; null where the request has none
     */
    public static PromptPrefix parse(String header) {
        List<Segment> segments = new ArrayList<>();
        if (header != null) {
            for (String text : header.split(",", MAX_SEGMENTS + 1)) {
                int colon = text.indexOf(':');
                if (colon < 0 || segments.size() == MAX_SEGMENTS) {
                    break;
                }
                segments.add(new Segment(
                        text.substring(0, colon).strip(),
                        parseTokens(text.substring(colon + 1).strip())));
            }
        }
        return new PromptPrefix(List.copyOf(segments));
    }

    private static long parseTokens(String text) {
        try {
            return Math.max(0, Long.parseLong(text));
        } catch (NumberFormatException unreadable) {
            return 0;
        }
    }

    /** All tokens of the prompt. */
    public long tokens() {
        long tokens = 0;
        for (Segment segment : segments) {
            tokens += segment.tokens();
        }
        return tokens;
    }

    /** Tokens of the segments that are shared with other requests. */
    public long sharedTokens() {
        return segments.isEmpty()
                ? 0
                : tokens() - segments.get(segments.size() - 1).tokens();
    }

    /** The id of the last shared segment, which identifies all before it too; empty where nothing is shared. */
    public Optional<String> affinityKey() {
        return segments.size() < 2
                ? Optional.empty()
                : Optional.of(segments.get(segments.size() - 2).id());
    }
}
