package dewplank.routing;

/**
 * How long prompts are, learned from those that came: where short ones bring little of all the tokens, a few prefill
 * servers can be kept for them, so that they don't wait behind long ones ("size interval task assignment", Crovella,
 * Harchol-Balter and Murta, 1998).
 */
public final class PromptLengthEstimator {
    /** Weight of a new prompt: some thirty of them are remembered, ten seconds of one data plane's. */
    private static final double STEP = 1 / 32.0;
    /** Prompts seen before anything is said of them. */
    private static final int LEAST_SEEN = 8;
    /** Of the mean length by tokens, up to which a prompt is short. */
    private static final double SHORT_PART = 0.5;
    /** The share is told in steps of this, so that data planes mostly agree on it. */
    private static final double SHARE_STEP = 1 / 16.0;

    private double meanTokens;
    private double meanSquare;
    private double shortTokens;
    private double toldShare;
    private int seen;

    /** A prompt of so many tokens came. */
    public void recordPrompt(long tokens) {
        double weight = Math.max(STEP, 1.0 / (seen + 1));
        seen = Math.min(seen + 1, Integer.MAX_VALUE - 1);
        meanTokens += (tokens - meanTokens) * weight;
        meanSquare += ((double) tokens * tokens - meanSquare) * weight;
        double inShort = isShort(tokens) ? tokens : 0;
        shortTokens += (inShort - shortTokens) * weight;
        double share = meanTokens == 0 ? 0 : shortTokens / meanTokens;
        if (Math.abs(share - toldShare) > SHARE_STEP) { // twice as far as rounding, so that it does not go to and fro
            toldShare = Math.round(share / SHARE_STEP) * SHARE_STEP;
        }
    }

    /** Whether a prompt is short: up to half of the length in which the average token comes. */
    public boolean isShort(long tokens) {
        return meanTokens > 0 && tokens <= SHORT_PART * meanSquare / meanTokens;
    }

    /** The part of all tokens that short prompts bring; 0 while little is known. */
    public double shortTokenFraction() {
        return seen < LEAST_SEEN ? 0 : toldShare;
    }
}
