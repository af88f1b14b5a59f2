package dewplank.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The segments of a prompt in order, as listed in the header {@code X-Dewplank-Prompt-Prefix}. The last segment belongs
 * to the request alone; the segments before it are shared with other requests. Immutable.
 *
 * @param segments empty if the request has no such header
 */
public record PromptPrefix(List<Segment> segments) {
    /** Maximum number of parsed segments. Further segments are ignored, because they hardly affect the pick. */
    private static final int MAX_SEGMENTS = 64;

    /**
     * A segment of a prompt.
     *
     * @param id equal for segments with the same text and the same preceding segments
     * @param tokens the length of the segment; 0 if it is not a valid number
     */
    public record Segment(String id, long tokens) {}

    /**
     * Parses a header such as {@code 5c1e07a2:800,91bd3f06:410} and never fails. Parsing ends at a segment without a
     * colon.
     *
     * @param header the value of the header; null if the request has none
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
        } catch (NumberFormatException invalid) {
            return 0;
        }
    }

    /** The number of tokens of the prompt. */
    public long tokens() {
        long tokens = 0;
        for (Segment segment : segments) {
            tokens += segment.tokens();
        }
        return tokens;
    }

    /** The number of tokens in the segments that are shared with other requests. */
    public long sharedTokens() {
        return segments.isEmpty()
                ? 0
                : tokens() - segments.get(segments.size() - 1).tokens();
    }

    /** The id of the last shared segment, which also identifies all segments before it; empty if none is shared. */
    public Optional<String> affinityKey() {
        return segments.size() < 2
                ? Optional.empty()
                : Optional.of(segments.get(segments.size() - 2).id());
    }
}
