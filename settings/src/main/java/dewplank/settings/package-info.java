/**
 * Settings files: the settings of a process of the fleet ({@link dewplank.settings.NodeSettings}), typed access to JSON
 * fields with errors that name the invalid field, a watch on a file's attributes, and the numbered {@link
 * dewplank.settings.ResultCode results} that operators see.
 *
 * <p>This package opens no sockets, starts no threads and does not depend on the use of a setting. The sidecar's own
 * configuration is read by {@code dewplank.sidecar.config}, which uses this package.
 */
package dewplank.settings;
