package dewplank.emulator.scenario;

/**
 * The data keys that requests refer to, and the effect of caching them on servers.
 *
 * @param count number of keys; 0 for none
 * @param zipfExponent exponent of the Zipf distribution of the keys' popularity
 * @param savedWorkFraction fraction of a request's work that is saved if its key is cached
 * @param cacheMs time for which a server caches a key after its last use
 * @param maxKeysPerCore maximum number of keys that a server caches, per core
 */
public record KeyModel(
        int count, double zipfExponent, double savedWorkFraction, double cacheMs, double maxKeysPerCore) {}
