/**
 * The sidecar's configuration: the one place where it is read, checked and given defaults.
 *
 * <p>Its values are immutable and may be used from any thread. Errors name the key at fault. Nothing here opens a
 * socket.
 */
package dewplank.sidecar.config;
