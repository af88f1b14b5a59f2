package dewplank.sidecar;

/**
 * A client's request as it was read and checked, ready for the balancer.
 *
 * @param forwarded what servers get
 * @param attributes what the balancer learns of it beside its class
 * @param requestClass one that the settings name
 * @param timeBudgetMs the client's remaining time when the request was read
 * @param isRetry whether the client says that it has sent this request before
 */
record ClientRequest(
        PendingRequest.ForwardedRequest forwarded,
        RequestAttributes attributes,
        String requestClass,
        double timeBudgetMs,
        boolean isRetry) {}
