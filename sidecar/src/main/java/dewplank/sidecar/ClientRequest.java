package dewplank.sidecar;

/**
 * A client's request after it has been decoded and validated.
 *
 * @param forwarded the request as forwarded to servers
 * @param attributes the attributes for the balancer, in addition to the class
 * @param requestClass the name of a request class in the settings
 * @param timeBudgetMs the client's remaining time when the request was read
 * @param isRetry whether the client states that it has sent this request before
 */
record ClientRequest(
        PendingRequest.ForwardedRequest forwarded,
        RequestAttributes attributes,
        String requestClass,
        double timeBudgetMs,
        boolean isRetry) {}
