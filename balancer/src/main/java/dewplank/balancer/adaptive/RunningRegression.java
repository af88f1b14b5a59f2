package dewplank.balancer.adaptive;

/** A linear regression of y on x, by least squares over exponential moving averages. */
final class RunningRegression {
    double meanX;
    private double meanSquare;
    private double meanProduct;

    void add(double x, double y, double alpha) {
        meanX += (x - meanX) * alpha;
        meanSquare += (x * x - meanSquare) * alpha;
        meanProduct += (x * y - meanProduct) * alpha;
    }

    double slope(double meanY) {
        double variance = meanSquare - meanX * meanX;
        return variance <= 0 ? 0 : (meanProduct - meanY * meanX) / variance;
    }
}
