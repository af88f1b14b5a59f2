package dewplank.routing;

/**
 * Estimates, with exponential averages over the prompts that arrive, up to which length a prompt is short and which
 * fraction of all tokens belongs to short prompts. Owned and called by {@link PrefillQueues}, on the event loop.
 */
public final class PromptLengthEstimator {
    private static final RoutingParameters.PromptSplit SPLIT = RoutingParameters.DEFAULTS.promptSplit();

    private double meanTokens;
    private double meanSquaredTokens;
    private double meanShortTokens;
    private double roundedFraction;
    private int prompts;

    /** Records the arrival of a prompt with this number of tokens. */
    public void recordPrompt(long tokens) {
        double weight = Math.max(SPLIT.sampleWeight(), 1.0 / (prompts + 1));
        prompts = Math.min(prompts + 1, Integer.MAX_VALUE - 1);
        meanTokens += (tokens - meanTokens) * weight;
        meanSquaredTokens += ((double) tokens * tokens - meanSquaredTokens) * weight;
        double shortTokens = isShort(tokens) ? tokens : 0;
        meanShortTokens += (shortTokens - meanShortTokens) * weight;
        double fraction = meanTokens == 0 ? 0 : meanShortTokens / meanTokens;
        // the threshold is twice the largest rounding error, so that the rounded fraction does not oscillate
        if (Math.abs(fraction - roundedFraction) > SPLIT.fractionStep()) {
            roundedFraction = Math.round(fraction / SPLIT.fractionStep()) * SPLIT.fractionStep();
        }
    }

    /** Whether a prompt is short: at most half of the mean prompt length weighted by tokens. */
    public boolean isShort(long tokens) {
        return meanTokens > 0 && tokens <= SPLIT.shortLengthFraction() * meanSquaredTokens / meanTokens;
    }

    /** The fraction of all tokens that belongs to short prompts, rounded to steps; 0 until enough prompts arrived. */
    public double shortTokenFraction() {
        return prompts < SPLIT.minPrompts() ? 0 : roundedFraction;
    }
}
