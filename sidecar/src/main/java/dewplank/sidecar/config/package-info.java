/**
 * The sidecar's configuration. Only this package reads it, validates it and applies the defaults.
 *
 * <p>Configuration objects are immutable and may be used from any thread. Error messages name the invalid key. The
 * package opens no sockets.
 */
package dewplank.sidecar.config;
