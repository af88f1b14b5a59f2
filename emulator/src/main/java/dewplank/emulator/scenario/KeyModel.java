package dewplank.emulator.scenario;

/**
 * The keys that requests are about, and what servers save by caching them.
 *
 * @param count 0 for no keys
 * @param zipfExponent of the keys' popularity
 * @param savedWorkFraction of a request's work, where its key is cached
 * @param cacheMs for which a server caches a key after its last use
 * @param maxKeysPerCore keys that a server caches
 */
public record KeyModel(
        int count, double zipfExponent, double savedWorkFraction, double cacheMs, double maxKeysPerCore) {}
