package dewplank.routing;

/**
 * How long prompts are, learned from those that came: where short ones bring little of all the tokens, a few prefill
 * servers can be kept for them, so that they don't wait behind long ones ("size interval task assignment", Crovella,
 * Harchol-Balter and Murta, 1998).
 */
public final class PromptLengthEstimator {
    private static final RoutingParameters.PromptSplit SPLIT = RoutingParameters.DEFAULTS.promptSplit();

    private double meanTokens;
    private double meanSquare;
    private double shortTokens;
    private double toldShare;
    private int seen;

    /** A prompt of so many tokens came. */
    public void recordPrompt(long tokens) {
        double weight = Math.max(SPLIT.sampleWeight(), 1.0 / (seen + 1));
        seen = Math.min(seen + 1, Integer.MAX_VALUE - 1);
        meanTokens += (tokens - meanTokens) * weight;
        meanSquare += ((double) tokens * tokens - meanSquare) * weight;
        double inShort = isShort(tokens) ? tokens : 0;
        shortTokens += (inShort - shortTokens) * weight;
        double share = meanTokens == 0 ? 0 : shortTokens / meanTokens;
        if (Math.abs(share - toldShare)
                > SPLIT.fractionStep()) { // twice as far as rounding, so that it does not go to and fro
            toldShare = Math.round(share / SPLIT.fractionStep()) * SPLIT.fractionStep();
        }
    }

    /** Whether a prompt is short: up to half of the length in which the average token comes. */
    public boolean isShort(long tokens) {
        return meanTokens > 0 && tokens <= SPLIT.shortLengthFraction() * meanSquare / meanTokens;
    }

    /** The part of all tokens that short prompts bring; 0 while little is known. */
    public double shortTokenFraction() {
        return seen < SPLIT.minPrompts() ? 0 : toldShare;
    }
}
