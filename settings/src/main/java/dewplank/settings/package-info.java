/**
 * Settings files and their parts: the settings of a process of the fleet ({@link dewplank.settings.NodeSettings}),
 * typed access to JSON fields that names the field at fault, a watch on a file's attributes, and the numbered {@link
 * dewplank.settings.ResultCode results} that operators see.
 *
 * <p>Nothing here opens a socket, starts a thread or knows what a setting is used for. The sidecar's own configuration
 * is read in {@code dewplank.sidecar.config}, on top of this.
 */
package dewplank.settings;
