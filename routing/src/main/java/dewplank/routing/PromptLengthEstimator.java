package dewplank.routing;

/**
 * Learns how long prompts are from those that arrive, by exponential averages: up to which length one is short, and
 * what fraction of all tokens short ones bring. Owned and called by {@link PrefillQueues}, on the event loop.
 */
public final class PromptLengthEstimator {
    private static final RoutingParameters.PromptSplit SPLIT = RoutingParameters.DEFAULTS.promptSplit();

    private double meanTokens;
    private double meanSquaredTokens;
    private double meanShortTokens;
    private double reportedFraction;
    private int prompts;

    /** A prompt of so many tokens arrived. */
    public void recordPrompt(long tokens) {
        double weight = Math.max(SPLIT.sampleWeight(), 1.0 / (prompts + 1));
        prompts = Math.min(prompts + 1, Integer.MAX_VALUE - 1);
        meanTokens += (tokens - meanTokens) * weight;
        meanSquaredTokens += ((double) tokens * tokens - meanSquaredTokens) * weight;
        double shortTokens = isShort(tokens) ? tokens : 0;
        meanShortTokens += (shortTokens - meanShortTokens) * weight;
        double fraction = meanTokens == 0 ? 0 : meanShortTokens / meanTokens;
        // twice as far as rounding moves it, so that it does not go to and fro
        if (Math.abs(fraction - reportedFraction) > SPLIT.fractionStep()) {
            reportedFraction = Math.round(fraction / SPLIT.fractionStep()) * SPLIT.fractionStep();
        }
    }

    /** Whether a prompt is short: up to half of the length in which the average token arrives. */
    public boolean isShort(long tokens) {
        return meanTokens > 0 && tokens <= SPLIT.shortLengthFraction() * meanSquaredTokens / meanTokens;
    }

    /** The fraction of all tokens that short prompts bring, in steps; 0 until enough prompts arrived. */
    public double shortTokenFraction() {
        return prompts < SPLIT.minPrompts() ? 0 : reportedFraction;
    }
}
