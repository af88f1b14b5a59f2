package dewplank.balancer.adaptive;

/** Running averages of pairs, and the slope of the least-squares line through them. */
final class RunningRegression {
    double meanX;
    private double meanSquare;
    private double meanProduct;

    void add(double x, double y, double step) {
        meanX += (x - meanX) * step;
        meanSquare += (x * x - meanSquare) * step;
        meanProduct += (x * y - meanProduct) * step;
    }

    double slope(double meanY) {
        double variance = meanSquare - meanX * meanX;
        return variance <= 0 ? 0 : (meanProduct - meanY * meanX) / variance;
    }
}
